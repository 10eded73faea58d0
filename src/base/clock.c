/* Implements the clock interface on the clocks of the kernel.  */

#include "base/clock.h"

enum
{
  MS_PER_S = 1000,
  US_PER_S = 1000000,
  NS_PER_MS = 1000000,
  NS_PER_US = 1000
};

static struct timespec
system_monotonic (void *ctx)
{
  struct timespec now;

  (void)ctx;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now;
}

static struct timespec
system_calendar (void *ctx)
{
  struct timespec now;

  (void)ctx;
  clock_gettime (CLOCK_REALTIME, &now);
  return now;
}

static const struct bd_clock_ops system_ops
    = { .monotonic = system_monotonic, .calendar = system_calendar };

struct bd_clock
bd_clock_system (void)
{
  struct bd_clock clock = { .ops = &system_ops, .ctx = NULL };

  return clock;
}

int64_t
bd_clock_now_ms (const struct bd_clock *clock)
{
  struct timespec now = clock->ops->monotonic (clock->ctx);

  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t
bd_clock_now_us (const struct bd_clock *clock)
{
  struct timespec now = clock->ops->monotonic (clock->ctx);

  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t
bd_clock_calendar_ms (const struct bd_clock *clock)
{
  struct timespec now = clock->ops->calendar (clock->ctx);

  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}
