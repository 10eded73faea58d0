/* What the files that carry out calls share.  */

#ifndef BD_DAEMON_JOB_INTERNAL_H
#define BD_DAEMON_JOB_INTERNAL_H

#include "daemon/daemon_internal.h"

/* The header by which one daemon hands a call to another: "room", "relay" or
   "suspect".  */
#define BD_FORWARD_HEADER "X-Burdockdale-Hop"

/* What a request asks for.  */
struct bd_request
{
  const struct bd_service *service;
  bool is_stream;
  char *prompt;
};

/* bd_job_create(): a job for a request; takes its body.  */
struct bd_job *bd_job_create (struct bd_daemon *daemon,
                              struct bd_http_exchange *exchange,
                              const struct bd_request *request);

/* bd_job_end(): frees a job; its answer has been given or nobody waits.  */
void bd_job_end (struct bd_job *job);

/* bd_job_release_slot(): the job no longer counts at its place.  */
void bd_job_release_slot (struct bd_job *job);

/* bd_job_record_claim(): puts what came of a keyed call on record.  */
void bd_job_record_claim (struct bd_job *job, enum bd_claim_kind kind,
                          uint32_t status, const char *content_type,
                          const char *body);

/* bd_job_record_outcome(): the same for an answer; of a long one or one that
   is not text it is kept that the call ran.  */
void bd_job_record_outcome (struct bd_job *job, uint32_t status,
                            const char *content_type, const char *body,
                            size_t size);

/* bd_job_fail(): gives the final failure that the call has come to.  */
void bd_job_fail (struct bd_job *job);

/* bd_job_apply_action(): carries out what the call decided.  */
void bd_job_apply_action (struct bd_job *job, enum bd_action action);

/* bd_job_dispatch(): sends an attempt, or parks the job until a place takes
   it.  */
void bd_job_dispatch (struct bd_job *job);

/* bd_job_claim(): asks for the key of the call.  */
void bd_job_claim (struct bd_job *job);

#endif
