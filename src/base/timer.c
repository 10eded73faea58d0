/* Uses one timer descriptor per event loop, armed for the earliest timer.  */

#include "base/timer.h"

#include <glib.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

enum
{
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  NS_PER_US = 1000
};

struct bd_timer
{
  struct timer_queue *queue;
  GSequenceIter *position; /* NULL once it has fired.  */
  int64_t due_us;
  uint64_t sequence; /* Timers due at the same time fire in this order.  */
  bd_timer_handler *handler;
  void *ctx;
};

struct timer_queue
{
  struct tevent_context *events;
  GSequence *timers;
  int fd;
  int64_t armed_us; /* 0 means not armed.  */
  uint64_t sequence;
  struct timer_queue *next;
};

/* The queues of all event loops of this process.  The daemon has one loop.  */
static struct timer_queue *queues;

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

static int
compare_timers (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct bd_timer *left = a;
  const struct bd_timer *right = b;

  (void)ctx;
  if (left->due_us != right->due_us)
    return left->due_us < right->due_us ? -1 : 1;
  return left->sequence < right->sequence ? -1
                                          : left->sequence > right->sequence;
}

static void
arm (struct timer_queue *queue)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue->timers);
  struct itimerspec when = { 0 };
  int64_t due_us;

  if (g_sequence_iter_is_end (first))
    return;
  due_us = ((const struct bd_timer *)g_sequence_get (first))->due_us;
  /* A descriptor that is armed too early, after a timer was cancelled, costs
     only one wake-up without work.  */
  if (queue->armed_us != 0 && queue->armed_us <= due_us)
    return;
  queue->armed_us = due_us;
  when.it_value.tv_sec = due_us / US_PER_S;
  when.it_value.tv_nsec = due_us % US_PER_S * NS_PER_US;
  timerfd_settime (queue->fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static int
destroy_timer (struct bd_timer *timer)
{
  if (timer->position != NULL)
    g_sequence_remove (timer->position);
  timer->position = NULL;
  return 0;
}

/* A firing timer must not be freed before its handler returns, so its
   destructor rejects talloc_free().  */
static int
prevent_free (struct bd_timer *timer)
{
  (void)timer;
  return -1;
}

static void
fire (struct bd_timer *timer)
{
  g_sequence_remove (timer->position);
  timer->position = NULL;
  talloc_steal (NULL, timer);
  talloc_set_destructor (timer, prevent_free);
  timer->handler (timer->ctx);
  talloc_set_destructor (timer, NULL);
  talloc_free (timer);
}

static void
handle_fd (struct tevent_context *events, struct tevent_fd *fd, uint16_t flags,
           void *private_data)
{
  struct timer_queue *queue = private_data;
  uint64_t sequence = queue->sequence;
  int64_t now = now_us ();
  uint64_t expirations;

  (void)events;
  (void)fd;
  (void)flags;
  if (read (queue->fd, &expirations, sizeof expirations) < 0)
    return;
  queue->armed_us = 0;
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue->timers);
      struct bd_timer *timer;

      if (g_sequence_iter_is_end (first))
        break;
      timer = g_sequence_get (first);
      /* Timers that handlers add during this pass fire in the next iteration
         of the event loop.  */
      if (timer->due_us > now || timer->sequence > sequence)
        break;
      fire (timer);
    }
  arm (queue);
}

static int
destroy_queue (struct timer_queue *queue)
{
  struct timer_queue **link = &queues;

  while (*link != queue)
    link = &(*link)->next;
  *link = queue->next;
  for (GSequenceIter *i = g_sequence_get_begin_iter (queue->timers);
       !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    ((struct bd_timer *)g_sequence_get (i))->position = NULL;
  g_sequence_free (queue->timers);
  close (queue->fd);
  return 0;
}

static struct timer_queue *
get_queue (struct tevent_context *events)
{
  struct timer_queue *queue;

  for (queue = queues; queue != NULL; queue = queue->next)
    if (queue->events == events)
      return queue;
  queue = talloc_zero (events, struct timer_queue);
  if (queue == NULL)
    return NULL;
  queue->events = events;
  queue->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (queue->fd < 0
      || tevent_add_fd (events, queue, queue->fd, TEVENT_FD_READ, handle_fd,
                        queue)
             == NULL)
    {
      if (queue->fd >= 0)
        close (queue->fd);
      talloc_free (queue);
      return NULL;
    }
  queue->timers = g_sequence_new (NULL);
  queue->next = queues;
  queues = queue;
  talloc_set_destructor (queue, destroy_queue);
  return queue;
}

struct bd_timer *
bd_timer_add (struct tevent_context *events, void *mem, int64_t delay_ms,
              bd_timer_handler *handler, void *ctx)
{
  struct timer_queue *queue = get_queue (events);
  struct bd_timer *timer;

  if (queue == NULL)
    return NULL;
  timer = talloc_zero (mem, struct bd_timer);
  if (timer == NULL)
    return NULL;
  timer->queue = queue;
  timer->due_us = now_us () + (delay_ms > 0 ? delay_ms : 0) * US_PER_MS;
  timer->sequence = ++queue->sequence;
  timer->handler = handler;
  timer->ctx = ctx;
  timer->position
      = g_sequence_insert_sorted (queue->timers, timer, compare_timers, NULL);
  talloc_set_destructor (timer, destroy_timer);
  arm (queue);
  return timer;
}
