/* Contradictions in the logs of all daemons: requests that a daemon sent
   against what it knew.  Pure.

   The records are those of base/log.h, one JSON object a line.  What a record
   states of an endpoint (a fact) binds the daemon that wrote it at once, and
   every other daemon after a bound.  A daemon whose store has just come back,
   or that has just started, has the bound from then on, and one that has just
   found an entry gone and keeps it (is_kept), from that record.  A daemon
   whose list (list_age_ms) or configuration (config_age_ms) is older than a
   fact of another daemon, or of unknown age, does not know that fact.

   fact     stated by                             ended by
   gone     instance-gone                         instance-listed,
                                                  instance-gone with is_kept
   leaving  endpoint-leaving
   closed   endpoint-closed, for its wait_ms;
            binds only the daemon that wrote it
   limit    endpoint-limit; the same              the next one of it
   config   config-in-force                       store-restored

   A fact of an endpoint is true of one incarnation (started_ms) and does not
   bind attempts at a later one.

   An attempt contradicts a limit when its daemon alone has sent a multiple of
   what the endpoint accepts from all daemons: shares change without a record.
   A request contradicts a configuration when it was admitted by an older one.

   Records without a process can be of any daemon: their facts bind after the
   bound only, which starts again for none of them.  Daemons are compared by
   the times of their records, so the bound has to exceed the difference of
   their clocks.

     bd_contradictions_init (&contradictions, bound_ms);
     while (...)
       bd_contradictions_add (&contradictions, line, size);
     bd_contradictions_find (&contradictions);
     bd_contradictions_write (&contradictions, out);
     bd_contradictions_finish (&contradictions);  */

#ifndef BD_CONTRADICTIONS_CONTRADICTIONS_H
#define BD_CONTRADICTIONS_CONTRADICTIONS_H

#include <glib.h>
#include <stdint.h>

enum
{
  /* Time within which a fact has to be in force at all daemons.  */
  BD_CONTRADICTIONS_BOUND_MS = 2000
};

enum bd_fact
{
  BD_FACT_GONE,
  BD_FACT_LEAVING,
  BD_FACT_CLOSED,
  BD_FACT_LIMIT,
  BD_FACT_CONFIG,
  BD_FACT_COUNT
};

/* A request that was sent, or admitted, against a fact.  The strings belong to
   the struct bd_contradictions.  */
struct bd_contradiction
{
  enum bd_fact fact;
  const char *time;     /* Of the attempt, as in its record.  */
  const char *process;  /* The daemon that sent it.  */
  const char *id;       /* Of the request.  */
  const char *endpoint; /* Empty for a configuration.  */
  const char *source;   /* The daemon whose record states the fact.  */
  int64_t age_ms;       /* Of the fact.  */
};

struct bd_contradictions
{
  int64_t bound_ms;
  GStringChunk *strings;
  GPtrArray *records; /* struct record, in contradictions.c.  */
  GArray *found;      /* struct bd_contradiction, ordered by time.  */
  uint32_t unread_lines;
};

void bd_contradictions_init (struct bd_contradictions *contradictions,
                             int64_t bound_ms);

/* bd_contradictions_add(): adds a line of a log, in any order; lines of the
   same process and millisecond in the order in which it wrote them.  A line
   that is no record only counts in unread_lines.  */
void bd_contradictions_add (struct bd_contradictions *contradictions,
                            const char *line, size_t size);

/* bd_contradictions_find(): sets found.  */
void bd_contradictions_find (struct bd_contradictions *contradictions);

/* bd_contradictions_write(): appends a line for each contradiction, and one
   for each fact with their number and the oldest.  */
void bd_contradictions_write (const struct bd_contradictions *contradictions,
                              GString *out);

/* bd_contradictions_finish(): frees the contents.  */
void bd_contradictions_finish (struct bd_contradictions *contradictions);

#endif
