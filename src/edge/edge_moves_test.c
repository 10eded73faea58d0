/* Checks that callers keep their streams while instances are moved from one
   model to another.  The users' platform is faked, in one process with the
   daemon.  */

#include "edge/edge_internal.h"
#include "platform/platform.h"
#include "tests/fakes/site.h"
#include "tests/quiet.h"
#include "tests/unit.h"

#include <string.h>
#include <talloc.h>

enum
{
  READY_MS = 10000,
  MOVE_MS = 20000,
  POOL_WORKERS = 6,
  POOL_GROUPS = 3,
  CALLS = 6,
  STREAM_ROUTE = 2
};

static struct site site;
static struct site_call *calls[CALLS];
static uint32_t cut_count;
static uint32_t complete_count;

static uint32_t
count_groups (const char *model)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < site.worker_count; i++)
    {
      const json_t *state = json_object_get (site.workers[i].group, "State");

      open += state != NULL && strcmp (json_string_value (state), "open") == 0
              && strcmp (site.workers[i].model, model) == 0;
    }
  return open;
}

/* Runs one stream after the other.  */
static void
renew_calls (void)
{
  for (uint32_t i = 0; i < CALLS; i++)
    {
      if (calls[i] != NULL && !calls[i]->is_done)
        continue;
      if (calls[i] != NULL && calls[i]->status == 200)
        {
          cut_count += !calls[i]->is_complete;
          complete_count += calls[i]->is_complete;
        }
      calls[i] = site_start_call (&site, "POST", "/stream/x", "k1", "m");
    }
}

/* Whether all workers are in groups and each group runs a stream.  The daemon
   learns of a group later than the workers do.  */
static bool
all_groups_serve (struct site *s)
{
  uint32_t serving = 0;

  renew_calls ();
  for (uint32_t i = 0; i < s->worker_count; i++)
    serving += s->workers[i].stream_count > 0;
  return serving == POOL_GROUPS && count_groups ("m") == POOL_GROUPS;
}

static bool
is_moved (struct site *s)
{
  (void)s;
  renew_calls ();
  return count_groups ("n") > 0;
}

/* All workers serve model "m"; then the configuration has a second one, which
   has to get a group.  */
static void
add_second_model (void)
{
  json_t *pool = json_array_get (json_object_get (site.config, "Services"), 1);
  json_t *models
      = json_object_get (json_object_get (pool, "Engine"), "Models");
  json_t *second = json_deep_copy (json_array_get (models, 0));

  json_object_set_new (second, "Name", json_string ("n"));
  json_array_append_new (models, second);
  site_publish (&site);
}

static void
test_move_cuts_streams (void)
{
  site_start (&site, 0, POOL_WORKERS);
  json_object_set_new (
      json_array_get (json_object_get (site.config, "Routes"), STREAM_ROUTE),
      "MaxAttempts", json_integer (1));
  site_publish (&site);
  CU_ASSERT_TRUE_FATAL (site_run (&site, site_has_groups, READY_MS));
  for (uint32_t i = 0; i < site.worker_count; i++)
    site.workers[i].mode = WORKER_SLOW;
  CU_ASSERT_TRUE_FATAL (site_run (&site, all_groups_serve, READY_MS));
  complete_count = 0;
  add_second_model ();
  CU_ASSERT_TRUE (site_run (&site, is_moved, MOVE_MS));
  CU_ASSERT_TRUE (count_groups ("m") > 0);
  CU_ASSERT_TRUE (complete_count > 0);
  CU_ASSERT_EQUAL (cut_count, 0);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_ATTEMPTS_BROKEN], 0);
  CU_ASSERT_EQUAL (site.edge->counters.value[BD_COUNT_POISON_CRASHES], 0);
  CU_ASSERT_EQUAL (site.stolen_joins, 0);
  site_finish (&site);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "move cuts streams", test_move_cuts_streams },
  };

  unit_silence_log ();
  return UNIT_RUN ("edge_moves", tests);
}
