/* Sums of the traffic that several daemons report.  Pure.

   A source is a daemon, or a data centre of which a relay reports the sum. Its
   last report counts until it is replaced or expires.  Reports are folded into
   the sums as they arrive: the cost of a report is its own size, whatever the
   number of sources.  */

#ifndef BD_TRAFFIC_TRAFFIC_H
#define BD_TRAFFIC_TRAFFIC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Age of the progress of a target that has made none.  */
#define BD_TRAFFIC_NO_PROGRESS UINT32_MAX

/* Maximum number of accounts in a message; further ones of a report are
   ignored.  Two models, two priorities and 24 accounts are 96.  A message with
   all of them has 2.5 KB more.  */
#define BD_TRAFFIC_MAX_ACCOUNTS 96

/* Traffic with one group or endpoint.  */
struct bd_target_traffic
{
  uint64_t target; /* Hash of group and epoch, or of the endpoint.  */
  uint32_t in_flight;
  uint32_t prefill_ms; /* Expected time of the running prefills.  */
  /* Since the last event or response, or BD_TRAFFIC_NO_PROGRESS.  */
  uint32_t progress_age_ms;
};

/* Load that callers put on one model.  */
struct bd_model_demand
{
  uint64_t model;       /* Hash of the model's name.  */
  double busy_replicas; /* Replicas that the load keeps busy.  */
};

/* Requests of one account for one model at one priority, all by hashes of
   their names.  The counts are in hundredths of a request and decay
   exponentially (admission/accounts.h).  */
struct bd_account_traffic
{
  uint64_t account;
  uint64_t model;
  uint64_t priority;
  uint32_t asked;
  uint32_t served; /* Of these, those dispatched.  */
};

/* What one source reports.  */
struct bd_traffic_report
{
  struct bd_target_traffic *targets;
  uint32_t target_count;
  struct bd_model_demand *demand;
  uint32_t demand_count;
  uint32_t daemon_count;    /* Daemons that the report covers.  */
  uint32_t reporting_count; /* Of those, daemons that know their demand.  */
  struct bd_account_traffic *accounts; /* Those that ask for the most.  */
  uint32_t account_count;
};

/* Sum over the sources for one target.  */
struct bd_traffic_load
{
  uint32_t in_flight;
  uint32_t prefill_ms;
  int64_t progress_ms; /* Time of the last progress; 0 for none.  */
};

struct bd_traffic
{
  GHashTable *sources;      /* Id -> struct source, in traffic.c.  */
  GHashTable *sums;         /* Target -> struct sum, in traffic.c.  */
  GHashTable *account_sums; /* Of struct account_sum, in traffic.c.  */
};

void bd_traffic_init (struct bd_traffic *traffic);
void bd_traffic_finish (struct bd_traffic *traffic);

/* bd_traffic_age_ms(): returns the age to report of the last progress, at
   progress_ms; 0 for none.  */
uint32_t bd_traffic_age_ms (int64_t progress_ms, int64_t now_ms);

/* bd_traffic_report(): replaces the report of a source, which is copied.
   Counts of an account are limited to values that a daemon can have.  */
void bd_traffic_report (struct bd_traffic *traffic, uint64_t source,
                        const struct bd_traffic_report *report,
                        int64_t now_ms);

/* bd_traffic_add_stall(): this daemon has stood still for stalled_ms until
   now_ms, in which no report could be read.  The reports do not age by that
   time.  */
void bd_traffic_add_stall (struct bd_traffic *traffic, int64_t stalled_ms,
                           int64_t now_ms);

/* bd_traffic_expire(): drops the reports from before the given time.  */
void bd_traffic_expire (struct bd_traffic *traffic, int64_t before_ms);

/* bd_traffic_clear(): drops all reports but that of the source kept.  */
void bd_traffic_clear (struct bd_traffic *traffic, uint64_t kept);

/* bd_traffic_load(): the sum for one target over all sources but one (0 for
   none).  */
struct bd_traffic_load bd_traffic_load (const struct bd_traffic *traffic,
                                        uint64_t target, uint64_t excluded);

/* bd_traffic_add_to(): adds the sums over all sources but one to a report
   whose arrays have room for max_targets and max_models; what does not fit is
   left out.  */
void bd_traffic_add_to (const struct bd_traffic *traffic, uint64_t excluded,
                        struct bd_traffic_report *report, uint32_t max_targets,
                        uint32_t max_models, int64_t now_ms);

/* bd_traffic_add_counts(): adds the demand and the counts only.  */
void bd_traffic_add_counts (const struct bd_traffic *traffic,
                            uint64_t excluded,
                            struct bd_traffic_report *report,
                            uint32_t max_models);

/* bd_traffic_add_accounts(): adds the sums of the accounts over all sources
   but one to a report with room for max_accounts; what does not fit is left
   out.
   bd_traffic_trim_accounts(): leaves only the accounts of a report that ask
   for the most, at most max_accounts.  */
void bd_traffic_add_accounts (const struct bd_traffic *traffic,
                              uint64_t excluded,
                              struct bd_traffic_report *report,
                              uint32_t max_accounts);
void bd_traffic_trim_accounts (struct bd_traffic_report *report,
                               uint32_t max_accounts);

#endif
