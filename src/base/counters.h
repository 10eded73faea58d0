/* Metric counters: a fixed list, rendered in the Prometheus text exposition
   format.

   Each daemon has one struct bd_counters.  Incrementing a counter updates one
   array element; formatting happens only in bd_counters_render().  */

#ifndef BD_BASE_COUNTERS_H
#define BD_BASE_COUNTERS_H

#include <stdint.h>

/* X (enumerator, exported name, help).  */
#define BD_COUNTER_LIST(X)                                                    \
  X (REQUESTS, "requests_total", "requests received from callers")            \
  X (RESPONSES, "answers_total", "final answers given to callers")            \
  X (FAILURE_RESPONSES, "failure_answers_total",                              \
     "final answers that were failures")                                      \
  X (CALLERS_DISCONNECTED, "callers_gone_total",                              \
     "callers that left before the end")                                      \
  X (CALLERS_ABANDONED, "callers_abandoned_total",                            \
     "callers that left because no first event came in time")                 \
  X (CUT_BY_SWEEP, "cut_unread_total",                                        \
     "responses ended because the caller took nothing of them")               \
  X (CUT_BY_STOP, "cut_at_stop_total",                                        \
     "requests ended with the daemon, without a whole response")              \
  X (CUT_BY_FAILURE, "cut_broken_total",                                      \
     "streams ended before their end, for lack of another attempt")           \
  X (CUT_BY_DEADLINE, "cut_at_deadline_total",                                \
     "streams ended before their end, because their deadline passed")         \
  X (CUT_RESPONSES, "cut_answers_total",                                      \
     "connections that ended before a response was sent")                     \
  X (ATTEMPTS, "attempts_total", "attempts sent to endpoints")                \
  X (RETRIES, "retries_total", "attempts after the first of a call")          \
  X (RESUMES, "resumes_total", "streams resumed on another replica")          \
  X (ATTEMPTS_NOT_SENT, "attempts_not_sent_total",                            \
     "attempts that failed before anything was sent")                         \
  X (ATTEMPTS_BROKEN, "attempts_broken_total",                                \
     "attempts that failed after the request was sent")                       \
  X (RESPONSES_TOO_LARGE, "responses_too_large_total",                        \
     "responses of endpoints ended because they, or all together, were too "  \
     "large")                                                                 \
  X (RESPONSES_MALFORMED, "responses_malformed_total",                        \
     "responses of endpoints that are not valid HTTP")                        \
  X (WRONG_ATTEMPT_ID, "crossed_answers_total",                               \
     "answers with a foreign attempt id")                                     \
  X (WRONG_INCARNATION, "wrong_incarnation_total",                            \
     "answers under another incarnation than the call was sent to")           \
  X (WRONG_INSTANCE, "wrong_instance_total",                                  \
     "load reports of another instance than the probed one")                  \
  X (RATE_LIMITED, "rate_limited_total", "calls over an account's limit")     \
  X (SHED, "shed_total", "calls refused because of backlog")                  \
  X (SHED_FOR_SHARE, "share_refused_total",                                   \
     "of these, calls refused early as one of the account with the most")     \
  X (REGION_REFUSED, "region_refused_total",                                  \
     "calls refused or ended because their lists of regions leave no target") \
  X (REFUSED_STOPPING, "stopping_refused_total",                              \
     "requests refused because the daemon stops; another one serves them")    \
  X (POISON_REFUSED, "suspects_refused_total", "suspect requests refused")    \
  X (POISON_CRASHES, "suspect_crashes_total",                                 \
     "crashes recorded for suspect requests, those that peers saw included")  \
  X (ENDS_EXPLAINED, "explained_ends_total",                                  \
     "runs that an order or a planned exit ended; no evidence of a crash")    \
  X (POISON_CLEARED, "suspects_cleared_total",                                \
     "suspect requests that have finished, at peers included")                \
  X (CLAIMS, "claims_total", "claims committed")                              \
  X (CLAIM_REPLAYS, "claim_replays_total", "resends answered from a claim")   \
  X (CLAIM_WRITES, "claim_writes_total", "conditional updates for claims")    \
  X (PLATFORM_READS, "platform_reads_total", "reads of the object API")       \
  X (PLATFORM_WRITES, "platform_writes_total", "writes of the object API")    \
  X (STORE_LISTS, "store_lists_total", "of the reads, lists")                 \
  X (STORE_WATCHES, "store_watches_total", "of the reads, watches")           \
  X (STORE_RESTORES, "store_restores_total",                                  \
     "times that the store came back from an older copy")                     \
  X (PLATFORM_FAILURES, "platform_failures_total",                            \
     "object API calls without a usable answer")                              \
  X (PLATFORM_UNREADABLE, "platform_unreadable_total",                        \
     "object API answers that could not be decoded")                          \
  X (OBJECTS_DAMAGED, "objects_damaged_total",                                \
     "objects found with values that could not be decoded, or with none that" \
     " are valid")                                                            \
  X (LOST_REPLIES_RESOLVED, "platform_lost_answers_settled_total",            \
     "writes without an answer that a read-back settled")                     \
  X (CONFIG_LOWER_REVISION, "config_lower_revision_total",                    \
     "configurations refused because their revision is lower")                \
  X (CONFIG_ADOPTED, "config_adopted_total", "configurations put in force")   \
  X (CONFIG_DELTAS_OUT, "config_deltas_sent_total",                           \
     "replies to peers with the changes of the configuration")                \
  X (CONFIG_WHOLE_OUT, "config_whole_sent_total",                             \
     "replies to peers with the whole of a large configuration")              \
  X (CONFIG_REJECTED, "config_rejected_total", "published sets rejected")     \
  X (ORDERS, "orders_total", "orders sent to engines")                        \
  X (ORDERS_CUTTING, "orders_cutting_total",                                  \
     "leave orders to leaders with requests in progress")                     \
  X (ORDERS_REFUSED, "orders_refused_total", "orders refused by engines")     \
  X (PEER_BYTES_OUT, "peer_bytes_sent_total", "bytes sent to other daemons")  \
  X (PEER_BYTES_IN, "peer_bytes_received_total",                              \
     "bytes received from other daemons")                                     \
  X (PEER_MESSAGES_OUT, "peer_messages_sent_total",                           \
     "messages sent to other daemons")                                        \
  X (PEER_STATUS_OUT, "peer_status_sent_total",                               \
     "of the messages sent, status messages")                                 \
  X (PEER_STATUS_BYTES_OUT, "peer_status_sent_bytes_total",                   \
     "of the bytes sent, status messages")                                    \
  X (PEER_FRESHNESS_OUT, "peer_freshness_sent_total",                         \
     "of the messages sent, freshness requests and replies")                  \
  X (PEER_FRESHNESS_BYTES_OUT, "peer_freshness_sent_bytes_total",             \
     "of the bytes sent, freshness requests and replies")                     \
  X (PEER_UNREADABLE, "peer_messages_unreadable_total",                       \
     "messages received that could not be decoded")                           \
  X (ENDPOINTS_CLOSED, "endpoint_closures_total",                             \
     "times that an endpoint asked for no requests for some time")            \
  X (ENDPOINTS_LEAVING, "endpoints_leaving_total",                            \
     "endpoints that said in a response that they leave")                     \
  X (HANDED_OVER, "handed_over_total",                                        \
     "attempts that were handed over to another daemon")                      \
  X (TAKEN_OVER, "taken_over_total", "requests taken over from others")       \
  X (LINKS_LOST, "links_lost_total",                                          \
     "times that the links to all endpoints were lost")                       \
  X (ENDPOINT_LIMITS, "endpoint_limits_total",                                \
     "times that an endpoint named another request limit, or none again")     \
  X (ENDPOINTS_COLD, "endpoint_cold_times_total",                             \
     "times that an endpoint turned cold")                                    \
  X (PEER_DROPPED, "peer_messages_dropped_total",                             \
     "messages dropped because a peer's queue, or all together, were full")   \
  X (PEER_ENDED, "peer_connections_ended_total",                              \
     "connections of peers ended because they were too many or too large")    \
  X (PLACEMENTS_HELD, "placements_held_total",                                \
     "requests held back although a group had a free slot")                   \
  X (PLACEMENTS_RELEASED, "placements_released_total",                        \
     "of the requests held back, those sent afterwards")                      \
  X (PLACEMENTS_LATE, "placements_late_total",                                \
     "late requests sent to a group that kept its reserve of slots")          \
  X (ENDPOINT_POLLS, "endpoint_polls_total", "load reports asked for")        \
  X (ROUTE_CHECKS, "route_checks_total", "route checks answered")             \
  X (ROUTE_CHECKS_REFUSED, "route_checks_refused_total",                      \
     "route checks refused, since there were too many in a second")

enum bd_counter
{
#define BD_COUNTER_ENUM(name, exported, help) BD_COUNT_##name,
  BD_COUNTER_LIST (BD_COUNTER_ENUM)
#undef BD_COUNTER_ENUM
      BD_COUNTER_COUNT
};

struct bd_counters
{
  uint64_t value[BD_COUNTER_COUNT];
};

/* bd_count(): increments counter by one.  */
void bd_count (struct bd_counters *counters, enum bd_counter counter);

/* bd_count_add(): increments counter by n.  */
void bd_count_add (struct bd_counters *counters, enum bd_counter counter,
                   uint64_t n);

/* bd_counters_render(): all counters as text, allocated on ctx; NULL if out of
   memory.  */
char *bd_counters_render (const struct bd_counters *counters, void *ctx);

#endif
