/* Estimates how long a model engine takes.  Pure.

   An engine serves a batch of requests in passes.  A pass prefills a chunk of
   the waiting prompts and then runs several decode steps, each of which
   generates one token for every request being decoded.  The parameters come
   from the configuration; a model's pace scales all times.  */

#ifndef BD_ENGINE_ENGINE_H
#define BD_ENGINE_ENGINE_H

#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Limit on the models that one pool of instances serves.  */
  BD_ENGINE_MAX_MODELS = 8
};

struct bd_engine_model
{
  char name[BD_NAME_SIZE];
  uint32_t members; /* Instances per replica.  */
  double pace;      /* Factor applied to all times of a replica.  */
  double share;     /* Share of the instances, used before there is load.  */
  int64_t load_ms;  /* Load time from the weight store.  */
  int64_t warm_ms;  /* Load time of weights staged on the host.  */
};

struct bd_engine
{
  uint32_t slots; /* Requests that a replica runs at once.  */
  int64_t kv_tokens;
  uint32_t stride; /* Decode steps per pass.  */
  double step_ms;
  double per_sequence_ms; /* Added to a step for each request being decoded. */
  double context_ms_per_k;
  double prefill_tokens_per_ms;
  double attention_ms_per_million_pairs; /* Per million pairs of tokens of one
                                            prompt.  */
  uint32_t chunk_tokens; /* Limit on prompt tokens prefilled per step.  */
  int64_t report_lag_ms;
  double loads_per_s;
  uint32_t loads_at_once;
  uint32_t retained_models; /* Models whose weights a host retains.  */
  int64_t form_ms;          /* From the open order until the group serves.  */
  double typical_prompt_tokens;
  double typical_response_tokens;
  struct bd_engine_model models[BD_ENGINE_MAX_MODELS];
  uint32_t model_count;
};

/* bd_engine_model(): returns a model by name, or NULL when the pool does not
   serve it.  */
const struct bd_engine_model *bd_engine_model (const struct bd_engine *engine,
                                               const char *name);

/* bd_engine_smallest_model(): returns the number of members of the model with
   the fewest; 0 if there is none.  */
uint32_t bd_engine_smallest_model (const struct bd_engine *engine);

/* bd_engine_prefill_ms(): returns the time in ms to prefill one prompt without
   other load.  */
double bd_engine_prefill_ms (const struct bd_engine *engine,
                             const struct bd_engine_model *model,
                             uint32_t prompt_tokens);

/* bd_engine_step_ms(): returns the time in ms of one decode step for running
   requests with context_tokens tokens of context in total.  */
double bd_engine_step_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t running, double context_tokens);

/* bd_engine_pass_ms(): returns the time in ms of one pass with running
   requests, which is the token gap of a stream.  */
double bd_engine_pass_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t running);

/* bd_engine_response_ms(): returns the time in ms from the start of a request
   to its last token in a full batch, the other requests of which are like it
   or of the usual size, whichever is larger, and are prefilled meanwhile.  */
double bd_engine_response_ms (const struct bd_engine *engine,
                              const struct bd_engine_model *model,
                              uint32_t prompt_tokens,
                              uint32_t response_tokens);

/* bd_engine_work_ms(): returns the replica time in ms that a request takes
   up: its prefill, and its share of the decode steps in a batch of typical
   size.  */
double bd_engine_work_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t prompt_tokens, uint32_t response_tokens);

#endif
