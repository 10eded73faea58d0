/* Writes the last line of a process that ends by a fault.  */

#include "base/crash.h"

#include "base/log.h"
#include "base/modules.h"

#include <dlfcn.h>
#include <errno.h>
#include <execinfo.h>
#include <gsl/gsl_errno.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

enum
{
  SUBJECT_SIZE = 64,
  CAUSE_SIZE = 256,
  /* A pipe takes a line of PIPE_BUF bytes whole or not at all.  */
  LINE_SIZE = 4096,
  LINE_END_SIZE = 3,
  RECENT_COUNT = 8,
  MAX_FRAMES = 24,
  STACK_BYTES = 64 * 1024,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

struct activity
{
  const char *name;
  char subject[SUBJECT_SIZE];
};

/* The message of the C library's last abort, as gdb reads it.  */
struct abort_message
{
  unsigned size;
  char text[];
};

static const char *process = "burdockdale";
/* A ring; the current activity is at recent[last].  */
static struct activity recent[RECENT_COUNT] = { { .name = "start" } };
static uint32_t last;
static char cause[CAUSE_SIZE];
static struct bd_modules modules;
static struct abort_message **abort_message; /* NULL if there is none.  */
static char handler_stack[STACK_BYTES];

/* A line in the making, without functions of the standard library.  */
struct line
{
  char text[LINE_SIZE];
  size_t used;
};

static void
add_char (struct line *line, char c)
{
  if (line->used < sizeof line->text - LINE_END_SIZE)
    line->text[line->used++] = c;
}

/* Ends the line, also one that was cut, which happens in its last field.  */
static void
end_line (struct line *line)
{
  static const char end[] = "\"}\n";

  memcpy (line->text + line->used, end, LINE_END_SIZE);
  line->used += LINE_END_SIZE;
}

static void
add_raw (struct line *line, const char *text)
{
  while (*text != '\0')
    add_char (line, *text++);
}

/* The contents of a JSON string.  Text of peers may be cut within a character,
   or be no UTF-8.  */
static void
add_text (struct line *line, const char *text)
{
  for (; *text != '\0'; text++)
    {
      unsigned char byte = (unsigned char)*text;

      if (byte == '"' || byte == '\\')
        add_char (line, '\\');
      if (byte > '~')
        add_char (line, '?');
      else if (byte >= ' ')
        add_char (line, *text);
    }
}

static void
add_number (struct line *line, uint64_t value, uint32_t base)
{
  char digits[24];
  uint32_t count = 0;

  do
    digits[count++] = "0123456789abcdef"[value % base];
  while ((value /= base) > 0);
  while (count > 0)
    add_char (line, digits[--count]);
}

static void
add_field (struct line *line, const char *name, const char *value)
{
  add_raw (line, ",\"");
  add_raw (line, name);
  add_raw (line, "\":\"");
  add_text (line, value);
  add_char (line, '"');
}

/* The library of the frame i, or NULL if it is in the program, or has been
   found by an earlier frame.  */
static const struct bd_module *
find_new_library (void **frames, int i)
{
  const struct bd_module *found
      = bd_modules_find (&modules, (uintptr_t)frames[i]);

  for (int k = 0; k < i && found != NULL; k++)
    if (bd_modules_find (&modules, (uintptr_t)frames[k]) == found)
      return NULL;
  return found != &modules.modules[0] ? found : NULL;
}

static void
add_frame (struct line *line, uintptr_t address)
{
  const struct bd_module *module = bd_modules_find (&modules, address);

  if (module != NULL)
    {
      add_text (line, module->name);
      add_char (line, '+');
      address -= module->base;
    }
  add_raw (line, "0x");
  add_number (line, address, 16);
}

/* The last fields; the end of the line closes them.  */
static void
add_frames (struct line *line, bool has_frames)
{
  void *frames[MAX_FRAMES];
  int count = 0;

  /* After its first call it neither allocates nor locks.  */
  if (has_frames)
    count = backtrace (frames, MAX_FRAMES); // NOLINT(bugprone-signal-handler)

  add_raw (line, ",\"frames\":\"");
  for (int i = 0; i < count; i++)
    {
      if (i > 0)
        add_char (line, ' ');
      add_frame (line, (uintptr_t)frames[i]);
    }
  add_raw (line, "\",\"libraries\":\"");
  for (int i = 0; i < count; i++)
    {
      const struct bd_module *library = find_new_library (frames, i);

      if (library == NULL)
        continue;
      add_text (line, library->name);
      add_char (line, ' ');
      add_text (line, library->build_id);
      add_char (line, ';');
    }
}

static void
add_recent (struct line *line)
{
  add_raw (line, ",\"recent\":\"");
  for (uint32_t i = 1; i <= RECENT_COUNT; i++)
    {
      const struct activity *activity = &recent[(last + i) % RECENT_COUNT];

      if (activity->name == NULL)
        continue;
      add_text (line, activity->name);
      add_raw (line, " (");
      add_text (line, activity->subject);
      add_raw (line, ");");
    }
  add_char (line, '"');
}

static void
add_signal (struct line *line, const siginfo_t *info)
{
  bool is_negative = info->si_code < 0;

  add_raw (line, ",\"signal\":\"");
  add_number (line, (uint64_t)info->si_signo, 10);
  add_raw (line, is_negative ? "\",\"code\":\"-" : "\",\"code\":\"");
  add_number (line,
              (uint64_t)(is_negative ? -(int64_t)info->si_code
                                     : (int64_t)info->si_code),
              10);
  add_char (line, '"');
  if (info->si_code == SI_USER)
    {
      add_raw (line, ",\"sender\":\"");
      add_number (line, (uint64_t)info->si_pid, 10);
      add_char (line, '"');
    }
  else if (info->si_code > 0)
    {
      add_raw (line, ",\"address\":\"0x");
      add_number (line, (uintptr_t)info->si_addr, 16);
      add_char (line, '"');
    }
}

/* The words of the C library before it aborts, or NULL.  */
static const char *
find_abort_message (void)
{
  if (abort_message == NULL || *abort_message == NULL)
    return NULL;
  return (*abort_message)->text;
}

/* error is errno at the time of the signal.  A failed allocation leaves it,
   and few functions check for one before they use its result.  */
static const char *
find_cause (const siginfo_t *info, int error)
{
  if (cause[0] != '\0')
    return cause;
  if (find_abort_message () != NULL)
    return find_abort_message ();
  return error == ENOMEM && info->si_code != SI_USER ? "out of memory"
                                                     : "signal";
}

static void
write_line (const siginfo_t *info, int error, bool has_frames)
{
  struct line line = { .used = 0 };
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  add_raw (&line, "{\"time_ms\":\"");
  add_number (&line,
              (uint64_t)now.tv_sec * MS_PER_S
                  + (uint64_t)(now.tv_nsec / NS_PER_MS),
              10);
  add_char (&line, '"');
  add_field (&line, "process", process);
  add_field (&line, "event", "aborted");
  add_signal (&line, info);
  add_field (&line, "cause", find_cause (info, error));
  add_field (&line, "activity", recent[last].name);
  add_field (&line, "subject", recent[last].subject);
  add_field (&line, "build", bd_crash_build ());
  add_recent (&line);
  add_frames (&line, has_frames);
  end_line (&line);
  /* What does not fit into a full pipe is lost.  */
  if (write (STDOUT_FILENO, line.text, line.used) < 0)
    return;
}

/* The search for the return addresses can fault on a damaged stack.  The line
   is then written without them, by a second call within the first.  */
static void
handle_signal (int signal_number, siginfo_t *info, void *context)
{
  static volatile sig_atomic_t depth;
  static siginfo_t first;
  static int error;

  (void)signal_number;
  (void)context;
  depth++;
  if (depth == 1)
    {
      error = errno;
      first = *info;
      bd_log_write_out ();
    }
  if (depth <= 2)
    write_line (&first, error, depth == 1);
  signal (first.si_signo, SIG_DFL);
  raise (first.si_signo);
}

static void
add_cause (const char *text)
{
  size_t used = strlen (cause);
  size_t size = strnlen (text, sizeof cause - 1 - used);

  memcpy (cause + used, text, size);
  cause[used + size] = '\0';
}

static void
add_cause_number (uint32_t value)
{
  struct line line = { .used = 0 };

  add_number (&line, value, 10);
  add_char (&line, '\0');
  add_cause (line.text);
}

void
bd_crash_abort (const char *kind, const char *file, uint32_t line,
                const char *reason)
{
  cause[0] = '\0';
  add_cause (kind);
  add_cause (" ");
  add_cause (file);
  add_cause (":");
  add_cause_number (line);
  add_cause (": ");
  add_cause (reason);
  abort ();
}

static void
handle_talloc_abort (const char *reason)
{
  bd_crash_abort ("talloc", "", 0, reason);
}

/* A draw from an empty range is an error of its caller, not of the process:
   GSL returns 0.  */
static void
handle_gsl_error (const char *reason, const char *file, int line, int error)
{
  (void)error;
  bd_log ("library-error", "library", "gsl", "file", file, "line",
          BD_NUM (line), "reason", reason, NULL);
}

void
bd_crash_enter (const char *activity, const char *subject)
{
  size_t size = subject != NULL ? strcspn (subject, "?") : 0;
  uint32_t next = (last + 1) % RECENT_COUNT;

  if (size > SUBJECT_SIZE - 1)
    size = SUBJECT_SIZE - 1;
  recent[next].name = activity;
  if (size > 0)
    memcpy (recent[next].subject, subject, size);
  recent[next].subject[size] = '\0';
  last = next;
}

const char *
bd_crash_build (void)
{
  return modules.modules[0].build_id;
}

/* The handler needs a stack of its own where that of the process is used up.
   The sanitizers have one already.  */
static void
set_handler_stack (void)
{
  stack_t stack = { .ss_sp = handler_stack, .ss_size = sizeof handler_stack };
  stack_t current;

  if (sigaltstack (NULL, &current) == 0
      && (current.ss_flags & SS_DISABLE) != 0)
    sigaltstack (&stack, NULL);
}

void
bd_crash_init (const char *process_name)
{
  static const int signals[]
      = { SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGSYS };
  struct sigaction action
      = { .sa_sigaction = handle_signal,
          .sa_flags = (int)(SA_SIGINFO | SA_ONSTACK | SA_NODEFER) };
  void *frame;

  process = process_name;
  talloc_set_abort_fn (handle_talloc_abort);
  gsl_set_error_handler (handle_gsl_error);
  /* The first call loads a library, which a signal handler must not.  */
  backtrace (&frame, 1);
  bd_modules_read (&modules);
  abort_message = dlsym (RTLD_DEFAULT, "__abort_msg");
  set_handler_stack ();
  for (size_t i = 0; i < sizeof signals / sizeof signals[0]; i++)
    sigaction (signals[i], &action, NULL);
}
