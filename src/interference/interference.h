/* Limits the effect of prompts on each other at replica groups.  Pure.

   A group prefills the prompts that wait there before it generates their first
   tokens, so each of them delays the others.  Designed for many daemons whose
   own backlogs are nearly empty: the order within one backlog then hardly
   decides which requests of the system get a slot, so that each daemon keeps
   its late requests from taking the last slots, and long prompts from groups
   where they make others late.

   A request is late when it has missed its objective, or would miss it at
   every candidate; with the reserve also when it would meet it by less than a
   tenth.  A resumed request is never late: its caller already has a part of
   the response.  A prompt of any size is late when the usual one would be: no
   size is served less often than others.  All times are in ms.  */

#ifndef BD_INTERFERENCE_INTERFERENCE_H
#define BD_INTERFERENCE_INTERFERENCE_H

#include "engine/engine.h"
#include "placement/placement.h"

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

enum bd_interference_mode
{
  /* Where the usual prompts of a full batch, prefilled one after the other,
     take longer than the objective.  */
  BD_INTERFERENCE_AUTO,
  BD_INTERFERENCE_ON,
  BD_INTERFERENCE_OFF
};

/* Each decision can be switched off.  All zero: none is taken.  */
struct bd_interference_settings
{
  enum bd_interference_mode mode;
  bool keeps_reserve;  /* Late requests leave a part of the slots free.  */
  bool bounds_prefill; /* Requests wait for a group where none gets late.  */
  bool weighs_delay;   /* Of the requests that wait at a group.  */
  bool sends_class;    /* Priority class of each request.  */
  /* A group is drawn by what it lacks to the load that all will have.  */
  bool levels_load;
};

/* What is known of the request that is to be sent.  */
struct bd_interference_request
{
  uint32_t prompt_tokens;
  double objective_ms; /* From its arrival to its first event.  */
  double left_ms;      /* Until then; negative once it was missed.  */
  /* The shortest objective of the requests for the model, which the prompts
     that wait at a group are taken to have; 0 if unknown.  */
  double shortest_objective_ms;
  /* Work that the other daemons are expected to have sent to each group within
     the age of the loads; 0 if unknown or there are no others.  */
  double unseen_ms;
  bool is_resumed;
  bool can_wait; /* At the daemon, for a better target.  */
};

enum bd_interference_verdict
{
  BD_INTERFERENCE_SEND,
  BD_INTERFERENCE_FULL,    /* No candidate has a free slot.  */
  BD_INTERFERENCE_RESERVE, /* Late: the free slots are kept for others.  */
  BD_INTERFERENCE_PREFILL  /* It can wait until less prefill work waits.  */
};

struct bd_interference_choice
{
  enum bd_interference_verdict verdict;
  uint32_t index;     /* Of the candidate to use.  */
  double expected_ms; /* From sending to the first event there.  */
  bool is_late;
};

/* bd_interference_read_mode(): reads "auto", "on" or "off"; returns whether
   text is one of these.  */
bool bd_interference_read_mode (const char *text,
                                enum bd_interference_mode *mode);

/* bd_interference_applies(): whether the decisions below apply to the requests
   of a route with this objective, by the configuration alone.  They do not
   where even an idle group misses the objective with the usual prompt: no
   order of requests helps then.  */
bool bd_interference_applies (const struct bd_interference_settings *settings,
                              const struct bd_engine *engine,
                              const struct bd_engine_model *model,
                              double objective_ms);

/* bd_interference_has_choice(): whether any setting needs
   bd_interference_choose() in place of bd_choose_group().  */
bool
bd_interference_has_choice (const struct bd_interference_settings *settings);

/* bd_interference_reserve(): the slots of a group that late requests leave
   free.  */
uint32_t bd_interference_reserve (uint32_t slots);

/* bd_interference_choose(): chooses among the candidates, of which the first
   BD_MAX_CANDIDATES count.  choice->index and choice->expected_ms are set when
   the verdict is to send.  */
void bd_interference_choose (const struct bd_interference_settings *settings,
                             const struct bd_engine *engine,
                             const struct bd_engine_model *model,
                             const struct bd_group_load *loads, uint32_t count,
                             const struct bd_interference_request *request,
                             gsl_rng *rng,
                             struct bd_interference_choice *choice);

/* bd_interference_class(): the priority class, from 0 (served first) to 9, of
   a request whose first event is expected after expected_ms.  5 is that of a
   request without a class.  */
uint32_t bd_interference_class (const struct bd_engine *engine,
                                const struct bd_engine_model *model,
                                const struct bd_interference_request *request,
                                double expected_ms);

/* bd_interference_due_delay_ms(): the expected time from sending a request to
   its first event in a full batch, by which it is late in a backlog: that of
   the usual prompt.  */
double bd_interference_due_delay_ms (const struct bd_engine *engine,
                                     const struct bd_engine_model *model);

#endif
