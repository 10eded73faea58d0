/* Clock interface, so that tests can run time-dependent code on a fake
   clock.  */

#ifndef BD_BASE_CLOCK_H
#define BD_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

struct bd_clock_ops
{
  /* Monotonic time, for intervals.  */
  struct timespec (*monotonic) (void *ctx);
  /* Wall-clock time, for timestamps that people read.  */
  struct timespec (*calendar) (void *ctx);
};

struct bd_clock
{
  const struct bd_clock_ops *ops;
  void *ctx;
};

/* bd_clock_system(): the clock of the machine.  Its monotonic time includes
   the time that the machine is suspended, so that leases and state that expire
   during a suspend are expired when the machine resumes.  */
struct bd_clock bd_clock_system (void);

/* bd_clock_now_ms(): monotonic time in milliseconds.  */
int64_t bd_clock_now_ms (const struct bd_clock *clock);

/* bd_clock_now_us(): monotonic time in microseconds.  */
int64_t bd_clock_now_us (const struct bd_clock *clock);

/* bd_clock_calendar_ms(): wall-clock time in milliseconds since 1970-01-01
   UTC.  */
int64_t bd_clock_calendar_ms (const struct bd_clock *clock);

#endif
