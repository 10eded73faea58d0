/* Functions shared by the files that carry out calls.  */

#ifndef BD_DAEMON_JOB_INTERNAL_H
#define BD_DAEMON_JOB_INTERNAL_H

#include "daemon/daemon_internal.h"

/* The header of a call that one daemon forwards to another.  Its value is the
   reason: "room" for capacity in that data centre, "relay" for a relay that
   may forward again, "suspect" for a suspected poison request.  */
#define BD_FORWARD_HEADER "X-Burdockdale-Hop"

/* The service and the options that a request asks for.  */
struct bd_request
{
  const struct bd_service *service;
  bool is_stream;
  char *prompt;
};

/* bd_job_new(): a job for a request; takes ownership of its body.  It is not
   one of the daemon's jobs, and has no deadline timer.
   bd_job_create(): the same for a job of the daemon.  */
struct bd_job *bd_job_new (struct bd_daemon *daemon,
                           struct bd_http_exchange *exchange,
                           const struct bd_request *request);
struct bd_job *bd_job_create (struct bd_daemon *daemon,
                              struct bd_http_exchange *exchange,
                              const struct bd_request *request);

/* bd_job_end(): frees a job whose response is complete or whose caller has
   disconnected.  */
void bd_job_end (struct bd_job *job);

/* bd_job_release_slot(): releases the slot of the job on its target, if it
   has one.  */
void bd_job_release_slot (struct bd_job *job);

/* bd_job_record_claim(): records the outcome of a call that has a claimed key;
   does nothing for other calls.  */
void bd_job_record_claim (struct bd_job *job, enum bd_claim_kind kind,
                          uint32_t status, const char *content_type,
                          const char *body);

/* bd_job_record_outcome(): records a response.  Of a response that is too long
   or is not text, only the fact that the call ran is recorded.  */
void bd_job_record_outcome (struct bd_job *job, uint32_t status,
                            const char *content_type, const char *body,
                            size_t size);

/* bd_job_fail(): responds with the final error of the call and frees the
   job.  */
void bd_job_fail (struct bd_job *job);

/* bd_job_apply_action(): performs an action that the call has returned.  */
void bd_job_apply_action (struct bd_job *job, enum bd_action action);

/* bd_job_dispatch(): sends an attempt, or parks the job until a target is
   available.  */
void bd_job_dispatch (struct bd_job *job);

/* bd_job_retry_after_ms(): when the caller of a job that fails with this error
   should retry.  */
int64_t bd_job_retry_after_ms (const struct bd_job *job, enum bd_error error);

/* bd_daemon_try_arrival(): why a request to a service (NULL: to none) would be
   refused before a job is created, or BD_OK.  Counts nothing.  */
enum bd_error bd_daemon_try_arrival (struct bd_daemon *daemon,
                                     const struct bd_http_exchange *exchange,
                                     const struct bd_service *service,
                                     int64_t *retry_after_ms);

/* bd_job_try(): what bd_daemon_handle_call() would do with a job that is not
   one of the daemon's: the error with which it is refused, or BD_OK and its
   target, if one is found.  Without its claim.  It draws random numbers and
   notes what is sent to remote data centres: the caller has to restore these
   (see daemon_route_check.c).  */
enum bd_error bd_job_try (struct bd_job *job, enum bd_target_choice *choice);

/* bd_job_claim(): claims the idempotency key of the call.  */
void bd_job_claim (struct bd_job *job);

#endif
