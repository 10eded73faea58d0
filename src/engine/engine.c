/* The step formula of the engines.  */

#include "engine/engine.h"

#include <string.h>

/* Part of the slots that a replica is planned to be busy with.  */
static const double usual_batch_share = 0.6;

const struct bd_engine_model *
bd_engine_model (const struct bd_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->model_count; i++)
    if (strcmp (engine->models[i].name, name) == 0)
      return &engine->models[i];
  return NULL;
}

double
bd_engine_prefill_ms (const struct bd_engine *engine,
                      const struct bd_engine_model *model,
                      uint32_t prompt_tokens)
{
  double tokens = prompt_tokens;
  double pairs_m = tokens * tokens / 2 / 1e6;
  double read_ms = engine->read_tokens_per_ms > 0
                       ? tokens / engine->read_tokens_per_ms
                       : 0;

  return model->pace * (read_ms + pairs_m * engine->pairs_ms_per_m);
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
  double context = running * (engine->usual_prompt + engine->usual_answer / 2);

  return engine->stride * bd_engine_step_ms (engine, model, running, context);
}

double
bd_engine_work_ms (const struct bd_engine *engine,
                   const struct bd_engine_model *model, uint32_t prompt_tokens,
                   uint32_t answer_tokens)
{
  double batch = 1 + usual_batch_share * engine->slots;
  double step_ms = bd_engine_step_ms (engine, model, (uint32_t)batch,
                                      batch * engine->usual_prompt);

  return bd_engine_prefill_ms (engine, model, prompt_tokens)
         + answer_tokens * step_ms / batch;
}
