/* The time formulas of the engines.  */

#include "engine/engine.h"

#include <math.h>

#include <string.h>

/* Share of a replica's slots assumed to be in use.  */
static const double typical_batch_share = 0.6;

const struct bd_engine_model *
bd_engine_model (const struct bd_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->model_count; i++)
    if (strcmp (engine->models[i].name, name) == 0)
      return &engine->models[i];
  return NULL;
}

uint32_t
bd_engine_smallest_model (const struct bd_engine *engine)
{
  uint32_t members = 0;

  for (uint32_t i = 0; i < engine->model_count; i++)
    if (members == 0 || engine->models[i].members < members)
      members = engine->models[i].members;
  return members;
}

double
bd_engine_prefill_ms (const struct bd_engine *engine,
                      const struct bd_engine_model *model,
                      uint32_t prompt_tokens)
{
  double tokens = prompt_tokens;
  double million_pairs = tokens * tokens / 2 / 1e6;
  double linear_ms = engine->prefill_tokens_per_ms > 0
                         ? tokens / engine->prefill_tokens_per_ms
                         : 0;

  return model->pace
         * (linear_ms
            + million_pairs * engine->attention_ms_per_million_pairs);
}

double
bd_engine_step_ms (const struct bd_engine *engine,
                   const struct bd_engine_model *model, uint32_t running,
                   double context_tokens)
{
  return model->pace
         * (engine->step_ms + engine->per_sequence_ms * running
            + engine->context_ms_per_k * context_tokens / 1000.0);
}

double
bd_engine_pass_ms (const struct bd_engine *engine,
                   const struct bd_engine_model *model, uint32_t running)
{
  double context = running
                   * (engine->typical_prompt_tokens
                      + engine->typical_response_tokens / 2);

  return engine->stride * bd_engine_step_ms (engine, model, running, context);
}

double
bd_engine_response_ms (const struct bd_engine *engine,
                       const struct bd_engine_model *model,
                       uint32_t prompt_tokens, uint32_t response_tokens)
{
  double other_prompt = fmax (prompt_tokens, engine->typical_prompt_tokens);
  double other_response
      = fmax (response_tokens, engine->typical_response_tokens);
  double context = engine->slots * (other_prompt + other_response / 2);
  double step_ms = bd_engine_step_ms (engine, model, engine->slots, context);

  return bd_engine_prefill_ms (engine, model, prompt_tokens)
         + engine->slots
               * bd_engine_prefill_ms (engine, model, (uint32_t)other_prompt)
         + response_tokens * step_ms;
}

double
bd_engine_work_ms (const struct bd_engine *engine,
                   const struct bd_engine_model *model, uint32_t prompt_tokens,
                   uint32_t response_tokens)
{
  double batch = 1 + typical_batch_share * engine->slots;
  double step_ms = bd_engine_step_ms (engine, model, (uint32_t)batch,
                                      batch * engine->typical_prompt_tokens);

  return bd_engine_prefill_ms (engine, model, prompt_tokens)
         + response_tokens * step_ms / batch;
}
