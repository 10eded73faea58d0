/* How long a model engine takes.  Pure.

   An engine serves a batch of requests in passes.  A pass reads a piece of
   the prompts that wait and, when requests are being written, makes one token
   for each of them a few times over.  The figures come from the
   configuration; a model's pace scales all of them.  */

#ifndef BD_ENGINE_ENGINE_H
#define BD_ENGINE_ENGINE_H

#include "base/ids.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Models that one pool of instances serves.  */
  BD_ENGINE_MAX_MODELS = 8
};

struct bd_engine_model
{
  char name[BD_NAME_SIZE];
  uint32_t members; /* Instances that one replica spans.  */
  double pace;      /* Factor on all times of a replica.  */
  double share;     /* Of the work, before any has been seen.  */
  int64_t load_ms;  /* From the weight store.  */
  int64_t warm_ms;  /* From the host that holds the weights.  */
};

struct bd_engine
{
  uint32_t slots; /* Requests that a replica runs at once.  */
  int64_t kv_tokens;
  uint32_t stride; /* Token steps a pass.  */
  double step_ms;
  double per_sequence_ms; /* Added to a step for each request written.  */
  double context_ms_per_k;
  double prefill_tokens_per_ms;
  double attention_ms_per_million_pairs; /* For a million pairs of tokens of
                                            one prompt.  */
  uint32_t chunk_tokens;                 /* Most prompt tokens read a step.  */
  int64_t report_lag_ms;
  double loads_per_s;
  uint32_t loads_at_once;
  uint32_t retained_models; /* Models whose weights a host keeps.  */
  int64_t form_ms;          /* From the order to open until it serves.  */
  double typical_prompt_tokens;
  double typical_response_tokens;
  struct bd_engine_model models[BD_ENGINE_MAX_MODELS];
  uint32_t model_count;
};

/* bd_engine_model(): by name; NULL when the pool does not serve it.  */
const struct bd_engine_model *bd_engine_model (const struct bd_engine *engine,
                                               const char *name);

/* bd_engine_prefill_ms(): reading a prompt alone.  */
double bd_engine_prefill_ms (const struct bd_engine *engine,
                             const struct bd_engine_model *model,
                             uint32_t prompt_tokens);

/* bd_engine_step_ms(): one token for each of running requests, with
   context_tokens of context in all.  */
double bd_engine_step_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t running, double context_tokens);

/* bd_engine_pass_ms(): the pause between two events of a stream.  */
double bd_engine_pass_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t running);

/* bd_engine_work_ms(): the part of a replica's time that a request takes, in
   a batch of the usual size.  */
double bd_engine_work_ms (const struct bd_engine *engine,
                          const struct bd_engine_model *model,
                          uint32_t prompt_tokens, uint32_t response_tokens);

#endif
