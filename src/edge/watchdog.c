/* Watchdog: ends requests at their deadline, finds attempts that stall, and
   measures how late the event loop is.

   A group stalls without a broken connection when one of its members becomes
   unreachable.  A stream that has begun and gets no event for several passes
   of the engine is resumed at another group.  A sound endpoint can be silent
   for as long, so an attempt that stalls is only ended when another one has
   responded.  */

#include "base/crash.h"
#include "edge/edge_internal.h"

#include <math.h>

enum
{
  /* Delay of the event loop that counts as a stall.  */
  MAX_LOOP_LAG_MS = 50,
  /* Time after a stall until what has come in it is read, and before it for
     which the same holds.  */
  CATCH_UP_MS = 100,
  /* Time without an event of a stream that has begun, in addition to
     STALL_PASSES, after which its group is suspected, and after which the
     stream is resumed at another group.  */
  SUSPECT_AFTER_MS = 350,
  RESUME_AFTER_MS = 700,
  /* Passes of the engine that may come between two events of a stream, because
     they prefill long prompts.  */
  STALL_PASSES = 4,
  /* Time without a response of a plain endpoint after which an idempotent
     request is retried at another one.  It is at least the time left until the
     deadline divided by PLAIN_RETRY_DIVISOR.  */
  PLAIN_RETRY_AFTER_MS = 150,
  PLAIN_RETRY_DIVISOR = 2,
  /* Time without a first event, in addition to the expected time, after which
     the group is suspected, and after which the request is sent to another
     group.  */
  SUSPECT_FIRST_EVENT_MS = 400,
  RESUME_FIRST_EVENT_MS = 900
};

/* Upper limit of the pace by which a slow group may be silent for longer: a
   stream has to go on elsewhere before its caller leaves.  */
static const double max_stall_pace = 4.0;

static bool
is_group_stalled (const struct bd_fleet_group *group, int64_t limit_ms,
                  int64_t read_ms)
{
  return read_ms - bd_fleet_progress_ms (group) >= limit_ms;
}

/* Time that the passes take which a sound stream can be silent for.  */
static int64_t
stall_passes_ms (const struct bd_edge_request *request,
                 const struct bd_fleet_group *group)
{
  double pace = fmin (fmax (group->pace, 1.0), max_stall_pace);

  return (int64_t)(STALL_PASSES * pace * bd_edge_pass_ms (request, group));
}

static void
watch_group (struct bd_edge_request *request, struct bd_fleet_group *group,
             int64_t read_ms)
{
  int64_t stalled_ms = read_ms - request->last_event_ms;
  int64_t passes_ms = stall_passes_ms (request, group);
  int64_t suspect_after_ms
      = request->is_prefilling
            ? (int64_t)request->expected_ms + SUSPECT_FIRST_EVENT_MS
            : SUSPECT_AFTER_MS + passes_ms;
  int64_t resume_after_ms
      = request->is_prefilling
            ? (int64_t)request->expected_ms + RESUME_FIRST_EVENT_MS
            : RESUME_AFTER_MS + passes_ms;

  if (stalled_ms >= suspect_after_ms
      && is_group_stalled (group, suspect_after_ms, read_ms))
    bd_edge_suspect_group (request->edge, group);
  if (stalled_ms >= resume_after_ms
      && is_group_stalled (group, suspect_after_ms, read_ms))
    bd_edge_handle_stall (request);
}

/* Retries an idempotent request at another endpoint when its plain endpoint
   does not respond.  */
static void
watch_plain (struct bd_edge_request *request, int64_t read_ms)
{
  int64_t stalled_ms = read_ms - request->last_event_ms;
  int64_t left_ms = request->deadline_ms - read_ms;

  if (request->is_idempotent && stalled_ms >= PLAIN_RETRY_AFTER_MS
      && stalled_ms >= left_ms / PLAIN_RETRY_DIVISOR)
    bd_edge_handle_stall (request);
}

/* Whether the request, or a part of it, may be at its target.  */
static bool
is_sent (const struct bd_edge_request *request)
{
  return request->attempt != NULL && bd_http_call_was_sent (request->attempt);
}

void
bd_edge_expire (struct bd_edge_request *request)
{
  bool has_not_run = !is_sent (request) && !request->call.may_have_run;
  enum bd_error error
      = request->edge->is_grace_over ? BD_ERR_STOPPING : BD_ERR_OVERLOADED;

  bd_backlog_remove (&request->backlog_item);
  bd_edge_run_action (request, has_not_run
                                   ? bd_call_refused (&request->call, error)
                                   : bd_call_expired (&request->call));
}

/* Whether the caller of a stream is about to leave without a first event.  */
static bool
is_caller_leaving (const struct bd_edge_request *request, int64_t read_ms)
{
  return request->caller_gap_ms > 0 && !request->has_stream_begun
         && read_ms >= bd_edge_first_event_end_ms (request);
}

/* read_ms: up to this time, events and responses that have come were read.  */
static void
watch_request (struct bd_edge_request *request, int64_t read_ms,
               int64_t now_ms)
{
  struct bd_fleet_group *group;

  bd_crash_enter ("the watch of a request", request->attempt_id);
  if (now_ms >= request->deadline_ms)
    {
      bd_edge_expire (request);
      return;
    }
  if (is_caller_leaving (request, read_ms))
    {
      bd_edge_expire (request);
      return;
    }
  if (request->attempt == NULL)
    return;
  if (request->group == 0)
    {
      watch_plain (request, read_ms);
      return;
    }
  group = bd_fleet_group (&request->edge->fleet, request->group);
  if (group != NULL)
    watch_group (request, group, read_ms);
}

bool
bd_edge_is_late (const struct bd_edge *edge)
{
  return bd_ticker_overdue_ms (&edge->watchdog_ticker) > MAX_LOOP_LAG_MS;
}

bool
bd_edge_has_stalled_since (const struct bd_edge *edge, int64_t since_ms)
{
  return bd_edge_is_late (edge) || since_ms < edge->stalled_ms;
}

/* Time up to which what has come has been read.  What came in a stall of this
   daemon, or shortly before it, may not have been.  */
static int64_t
read_until_ms (const struct bd_edge *edge, int64_t now_ms)
{
  return now_ms - CATCH_UP_MS < edge->stalled_ms
             ? edge->stall_began_ms - CATCH_UP_MS
             : now_ms;
}

static void
measure_lag (struct bd_edge *edge, int64_t now_ms)
{
  int64_t lag_ms = bd_ticker_lag_ms (&edge->watchdog_ticker);

  bd_observe (&edge->histograms, BD_HISTOGRAM_LOOP_LAG, lag_ms);
  if (lag_ms <= MAX_LOOP_LAG_MS)
    return;
  edge->stalled_ms = now_ms;
  edge->stall_began_ms = now_ms - lag_ms;
  bd_membership_add_stall (&edge->membership, lag_ms, now_ms);
  bd_traffic_add_stall (&edge->traffic, lag_ms, now_ms);
  bd_traffic_add_stall (&edge->remote_traffic, lag_ms, now_ms);
}

void
bd_edge_run_watchdog (void *ctx)
{
  struct bd_edge *edge = ctx;
  struct bd_edge_request *next;
  int64_t now_ms = bd_edge_now_ms (edge);
  int64_t read_ms;

  measure_lag (edge, now_ms);
  read_ms = read_until_ms (edge, now_ms);
  /* Prevents a dispatch inside the loop, which could end the next request of
     the list.  */
  edge->is_dispatching = true;
  for (struct bd_edge_request *request = edge->requests; request != NULL;
       request = next)
    {
      next = request->next;
      watch_request (request, read_ms, now_ms);
    }
  edge->is_dispatching = false;
  bd_edge_probe_links (edge);
  bd_edge_dispatch_backlogs (edge);
  bd_log_flush ();
}
