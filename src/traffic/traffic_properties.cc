/* Properties of the sums: after any sequence of reports and expiries they
   equal the sum over the last report of each source, with and without one of
   them.  */

#include <glib.h>

extern "C"
{
#include "traffic/traffic.h"
}

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace
{

enum
{
  SOURCES = 6,
  TARGETS = 8,
  MAX_AGE = 10
};

struct Model
{
  std::vector<struct bd_target_traffic> targets;
  std::vector<struct bd_account_traffic> accounts;
  int64_t received_ms;
};

uint32_t
expected_in_flight (const std::map<uint64_t, Model> &model, uint64_t target,
                    uint64_t excluded)
{
  uint32_t sum = 0;

  for (const auto &source : model)
    for (const auto &item : source.second.targets)
      if (item.target == target && source.first != excluded)
        sum += item.in_flight;
  return sum;
}

uint64_t
expected_asked (const std::map<uint64_t, Model> &model, uint64_t account,
                uint64_t excluded)
{
  uint64_t sum = 0;

  for (const auto &source : model)
    for (const auto &item : source.second.accounts)
      if (item.account == account && source.first != excluded)
        sum += item.asked;
  return sum;
}

/* The sums of accounts, without one source, are those of the last reports.  */
void
check_accounts (const struct bd_traffic *traffic,
                const std::map<uint64_t, Model> &model, uint64_t excluded)
{
  struct bd_account_traffic accounts[TARGETS];
  struct bd_traffic_report sum = {};
  uint64_t total = 0;

  sum.accounts = accounts;
  bd_traffic_add_accounts (traffic, excluded, &sum, TARGETS);
  for (uint32_t i = 0; i < sum.account_count; i++)
    {
      RC_ASSERT (accounts[i].asked
                 == expected_asked (model, accounts[i].account, excluded));
      RC_ASSERT (accounts[i].served == accounts[i].asked / 2);
      total += accounts[i].asked;
    }
  for (uint64_t account = 1; account <= TARGETS; account++)
    total -= expected_asked (model, account, excluded);
  RC_ASSERT (total == 0U);
  bd_traffic_trim_accounts (&sum, 2);
  RC_ASSERT (sum.account_count <= 2);
  uint64_t most_kept = 0;
  for (uint32_t i = 0; i < sum.account_count; i++)
    most_kept = std::max<uint64_t> (most_kept, accounts[i].asked);
  for (uint64_t account = 1; account <= TARGETS; account++)
    RC_ASSERT (expected_asked (model, account, excluded) <= most_kept);
}

} // namespace

int
main ()
{
  bool is_ok = rc::check ("sums equal the last reports", [] () {
    struct bd_traffic traffic;
    std::map<uint64_t, Model> model;
    int64_t now_ms = 1000;
    auto steps = *rc::gen::container<
        std::vector<std::pair<unsigned, std::vector<unsigned> > > > (
        rc::gen::pair (rc::gen::inRange (0U, SOURCES + 2U),
                       rc::gen::container<std::vector<unsigned> > (
                           rc::gen::inRange (0U, 100U))));

    bd_traffic_init (&traffic);
    for (const auto &step : steps)
      {
        Model reported = { {}, {}, ++now_ms };
        struct bd_model_demand demand = { 5, 1.5 };
        struct bd_traffic_report report = {};

        if (step.first >= SOURCES)
          {
            bd_traffic_expire (&traffic, now_ms - MAX_AGE);
            for (auto it = model.begin (); it != model.end ();)
              it = it->second.received_ms < now_ms - MAX_AGE ? model.erase (it)
                                                             : std::next (it);
            continue;
          }
        for (uint64_t i = 0; i < step.second.size () && i < TARGETS; i++)
          if (step.second[i] % 3 != 0)
            reported.targets.push_back (
                { i + 1, step.second[i], step.second[i] * 2, 0 });
        for (const auto &target : reported.targets)
          reported.accounts.push_back (
              { target.target, 1, 1, 2 * target.in_flight, target.in_flight });
        report.accounts = reported.accounts.data ();
        report.account_count
            = static_cast<uint32_t> (reported.accounts.size ());
        report.targets = reported.targets.data ();
        report.target_count = static_cast<uint32_t> (reported.targets.size ());
        report.demand = &demand;
        report.demand_count = 1;
        report.daemon_count = 1;
        bd_traffic_report (&traffic, step.first + 1, &report, now_ms);
        model[step.first + 1] = reported;
      }
    for (uint64_t target = 1; target <= TARGETS; target++)
      for (uint64_t excluded = 0; excluded <= SOURCES; excluded++)
        {
          struct bd_traffic_load load
              = bd_traffic_load (&traffic, target, excluded);
          uint32_t expected = expected_in_flight (model, target, excluded);

          RC_ASSERT (load.in_flight == expected);
          RC_ASSERT (load.prefill_ms == 2 * expected);
        }
    for (uint64_t excluded = 0; excluded <= SOURCES; excluded++)
      check_accounts (&traffic, model, excluded);
    struct bd_target_traffic targets[TARGETS];
    struct bd_model_demand demand[2];
    struct bd_traffic_report sum = {};
    uint32_t total = 0;

    sum.targets = targets;
    sum.demand = demand;
    bd_traffic_add_to (&traffic, 0, &sum, TARGETS, 2, now_ms);
    for (uint32_t i = 0; i < sum.target_count; i++)
      total += targets[i].in_flight;
    for (uint64_t target = 1; target <= TARGETS; target++)
      total -= expected_in_flight (model, target, 0);
    RC_ASSERT (total == 0U);
    RC_ASSERT (sum.daemon_count == model.size ());
    if (!model.empty ())
      RC_ASSERT (demand[0].busy_replicas
                 == 1.5 * static_cast<double> (model.size ()));
    bd_traffic_finish (&traffic);
  });

  is_ok = rc::check ("requests without progress count as progress",
                     [] () {
                       enum
                       {
                         REPORTER_NOW_MS = 5000,
                         TARGET = 1
                       };
                       struct bd_traffic traffic;
                       struct bd_target_traffic target = {};
                       struct bd_target_traffic passed_on = {};
                       struct bd_traffic_report report = {};
                       struct bd_traffic_report sum = {};
                       auto now_ms = *rc::gen::inRange<int64_t> (1, 100000000);
                       auto progress_ms
                           = *rc::gen::inRange<int64_t> (0, REPORTER_NOW_MS);

                       target.target = TARGET;
                       target.in_flight = 1;
                       target.progress_age_ms
                           = bd_traffic_age_ms (progress_ms, REPORTER_NOW_MS);
                       report.targets = &target;
                       report.target_count = 1;
                       sum.targets = &passed_on;
                       bd_traffic_init (&traffic);
                       bd_traffic_report (&traffic, 1, &report, now_ms);
                       bd_traffic_add_to (&traffic, 0, &sum, 1, 0, now_ms);
                       RC_ASSERT (sum.target_count == 1U);
                       if (progress_ms == 0)
                         RC_ASSERT (
                             bd_traffic_load (&traffic, TARGET, 0).progress_ms
                             == 0);
                       if (progress_ms == 0)
                         RC_ASSERT (passed_on.progress_age_ms
                                    == BD_TRAFFIC_NO_PROGRESS);
                       else if (now_ms > REPORTER_NOW_MS)
                         RC_ASSERT (passed_on.progress_age_ms
                                    == target.progress_age_ms);
                       bd_traffic_finish (&traffic);
                     })
          && is_ok;

  is_ok
      = rc::check (
            "odd counts of accounts are limited and go with their source",
            [] () {
              struct bd_traffic traffic;
              auto accounts = *rc::gen::container<
                  std::vector<struct bd_account_traffic> > (rc::gen::apply (
                  [] (uint64_t name, uint32_t asked, uint32_t served) {
                    return bd_account_traffic{ name % 3, 1, 1, asked, served };
                  },
                  rc::gen::arbitrary<uint64_t> (),
                  rc::gen::arbitrary<uint32_t> (),
                  rc::gen::arbitrary<uint32_t> ()));
              struct bd_account_traffic sums[4];
              struct bd_traffic_report report = {};
              struct bd_traffic_report sum = {};

              report.accounts = accounts.data ();
              report.account_count = static_cast<uint32_t> (accounts.size ());
              sum.accounts = sums;
              bd_traffic_init (&traffic);
              for (uint64_t source = 1; source <= 3; source++)
                bd_traffic_report (&traffic, source, &report, 1);
              bd_traffic_add_accounts (&traffic, 0, &sum, 4);
              RC_ASSERT (sum.account_count <= 3);
              for (uint32_t i = 0; i < sum.account_count; i++)
                RC_ASSERT (sums[i].served <= sums[i].asked);
              bd_traffic_expire (&traffic, 2);
              RC_ASSERT (g_hash_table_size (traffic.account_sums) == 0);
              bd_traffic_finish (&traffic);
            })
        && is_ok;

  return is_ok ? 0 : 1;
}
