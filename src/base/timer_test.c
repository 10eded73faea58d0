/* Tests that timers fire in order and can be cancelled, and that handlers can
   add timers and free the owner of their own timer.  */

#include "base/timer.h"
#include "tests/unit.h"

#include <talloc.h>

static struct tevent_context *events;
static char fired[16];
static size_t count;
static bool is_over;

static void
note_a (void *ctx)
{
  (void)ctx;
  fired[count++] = 'a';
}

static void
note_b (void *ctx)
{
  (void)ctx;
  fired[count++] = 'b';
}

static void
end_run (void *ctx)
{
  (void)ctx;
  is_over = true;
}

static void
run (void)
{
  is_over = false;
  bd_timer_add (events, events, 40, end_run, NULL);
  while (!is_over)
    tevent_loop_once (events);
}

static void
test_order (void)
{
  count = 0;
  bd_timer_add (events, events, 20, note_b, NULL);
  bd_timer_add (events, events, 10, note_a, NULL);
  bd_timer_add (events, events, 20, note_a, NULL);
  run ();
  CU_ASSERT_EQUAL (count, 3);
  CU_ASSERT_EQUAL (fired[0], 'a');
  CU_ASSERT_EQUAL (fired[1], 'b');
  CU_ASSERT_EQUAL (fired[2], 'a');
}

static void
test_cancel (void)
{
  void *owner = talloc_new (NULL);
  struct bd_timer *timer = bd_timer_add (events, events, 5, note_a, NULL);

  count = 0;
  bd_timer_add (events, owner, 5, note_b, NULL);
  talloc_free (timer);
  talloc_free (owner);
  run ();
  CU_ASSERT_EQUAL (count, 0);
}

/* A handler is allowed to free the talloc parent of its own timer.  */
static void
free_owner (void *ctx)
{
  talloc_free (ctx);
  bd_timer_add (events, events, 0, note_a, NULL);
}

static void
test_free_in_handler (void)
{
  void *owner = talloc_new (NULL);

  count = 0;
  bd_timer_add (events, owner, 5, free_owner, owner);
  run ();
  CU_ASSERT_EQUAL (count, 1);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "order", test_order },
          { "cancel", test_cancel },
          { "free in handler", test_free_in_handler } };
  int code;

  events = tevent_context_init (NULL);
  code = UNIT_RUN ("timer", tests);
  talloc_free (events);
  return code;
}
