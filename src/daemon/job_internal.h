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

/* bd_job_create(): a job for a request; takes ownership of its body.  */
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

/* bd_job_claim(): claims the idempotency key of the call.  */
void bd_job_claim (struct bd_job *job);

#endif
