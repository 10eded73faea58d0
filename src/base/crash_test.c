/* Guards against an end without a word: a process that aborts names the cause
   in its last line, and what it did.  */

#include "base/crash.h"

#include "base/log.h"
#include "base/modules.h"

#include "tests/unit.h"

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  OUTPUT_SIZE = 256 * 1024,
  LOG_LINES = 500, /* More than are logged in a second.  */
  OLD_SUBJECTS = 20,
  STRAY_BYTES = 64,
  BLOCK_STEP_BYTES = 16,
  LARGE_BYTES = 64 * 1024 /* Found in no list of free blocks.  */
};

static char output[OUTPUT_SIZE];

static void
fail_assertion (void)
{
  bd_crash_enter ("a \"test\"", "id-1");
  BD_ASSERT (getpid () == 0);
}

static void
raise_signal (void)
{
  bd_crash_enter ("a \"test\"", "id-1");
  raise (SIGABRT);
}

static void
stop_suspended (void)
{
  bd_crash_enter ("a \"test\"", "id-1");
  bd_crash_abort ("libmicrohttpd", "daemon.c", 1, "a reason");
}

/* The text of the last line of output.  */
static const char *
find_last_line (size_t used)
{
  char *start;

  output[used] = '\0';
  if (used > 0 && output[used - 1] == '\n')
    used--;
  start = memrchr (output, '\n', used);
  return start != NULL ? start + 1 : output;
}

static pid_t
start_child (void (*run) (void), int *read_end)
{
  int ends[2];
  pid_t child;

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  fflush (NULL);
  child = fork ();
  if (child == 0)
    {
      dup2 (ends[1], STDOUT_FILENO);
      close (ends[0]);
      close (ends[1]);
      bd_crash_init ("child");
      run ();
      _exit (0);
    }
  close (ends[1]);
  *read_end = ends[0];
  return child;
}

/* Returns the last line of a child, and the signal that ended it.  */
static json_t *
finish_child (pid_t child, int read_end, int *signal_number)
{
  size_t used = 0;
  ssize_t count;
  int status = 0;

  *signal_number = 0;
  while ((count = read (read_end, output + used, sizeof output - 1 - used))
         > 0)
    used += (size_t)count;
  close (read_end);
  waitpid (child, &status, 0);
  if (WIFSIGNALED (status))
    *signal_number = WTERMSIG (status);
  return json_loads (find_last_line (used), 0, NULL);
}

/* Runs the function in a process of its own.  */
static json_t *
run_child (void (*run) (void), int *signal_number)
{
  int read_end;
  pid_t child = start_child (run, &read_end);

  return finish_child (child, read_end, signal_number);
}

static const char *
text_of (const json_t *line, const char *field)
{
  const char *text = json_string_value (json_object_get (line, field));

  return text != NULL ? text : "";
}

/* The line names the activity that the child was in.  */
static void
check_line (const json_t *line, const char *cause)
{
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (text_of (line, "process"), "child");
  CU_ASSERT_STRING_EQUAL (text_of (line, "event"), "aborted");
  CU_ASSERT_PTR_NOT_NULL (strstr (text_of (line, "cause"), cause));
  CU_ASSERT_STRING_EQUAL (text_of (line, "activity"), "a \"test\"");
  CU_ASSERT_STRING_EQUAL (text_of (line, "subject"), "id-1");
  CU_ASSERT_PTR_NOT_NULL (strstr (text_of (line, "frames"), "crash_test+0x"));
  CU_ASSERT_EQUAL (strlen (text_of (line, "build")), BD_BUILD_ID_SIZE - 1);
}

static void
check_child (void (*run) (void), const char *cause)
{
  int signal_number;
  json_t *line = run_child (run, &signal_number);

  CU_ASSERT_EQUAL (signal_number, SIGABRT);
  check_line (line, cause);
  json_decref (line);
}

static void
test_last_line_names_the_cause (void)
{
  check_child (fail_assertion, "assertion src/base/crash_test.c:");
  check_child (fail_assertion, "getpid () == 0");
  check_child (raise_signal, "signal");
  check_child (stop_suspended, "libmicrohttpd daemon.c:1: a reason");
}

/* A fault in a library names it with the offset, and its build.  */
static int
compare_and_abort (const void *a, const void *b)
{
  (void)a;
  (void)b;
  abort ();
}

static void
abort_in_library (void)
{
  int numbers[] = { 2, 1 };

  bd_crash_enter ("a \"test\"", "id-1");
  qsort (numbers, 2, sizeof numbers[0], compare_and_abort);
}

static void
test_frames_name_libraries (void)
{
  int signal_number;
  json_t *line = run_child (abort_in_library, &signal_number);
  const char *library;

  check_line (line, "signal");
  CU_ASSERT_PTR_NOT_NULL (strstr (text_of (line, "frames"), "libc.so.6+0x"));
  library = strstr (text_of (line, "libraries"), "libc.so.6 ");
  CU_ASSERT_PTR_NOT_NULL_FATAL (library);
  CU_ASSERT_EQUAL (strcspn (library + strlen ("libc.so.6 "), ";"),
                   BD_BUILD_ID_SIZE - 1);
  json_decref (line);
}

/* A signal of another process differs from one of the process itself.  */
static void
wait_for_signal (void)
{
  bd_crash_enter ("a \"test\"", "id-1");
  pause ();
}

static void
test_sender_of_a_signal (void)
{
  char sender[24];
  int signal_number;
  int read_end;
  pid_t child = start_child (wait_for_signal, &read_end);
  json_t *line;

  usleep (100000);
  kill (child, SIGABRT);
  line = finish_child (child, read_end, &signal_number);
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (text_of (line, "code"), "0");
  CU_ASSERT_STRING_EQUAL (text_of (line, "sender"),
                          bd_number_text (sender, getpid ()));
  json_decref (line);
  line = run_child (raise_signal, &signal_number);
  CU_ASSERT_STRING_EQUAL (text_of (line, "code"), "-6");
  CU_ASSERT_PTR_NULL (json_object_get (line, "sender"));
  json_decref (line);
}

static void
enter_many (void)
{
  for (int i = 0; i < OLD_SUBJECTS; i++)
    bd_crash_enter ("an older one", bd_number_text ((char[24]){ 0 }, i));
  raise_signal ();
}

static void
test_recent_activities (void)
{
  int signal_number;
  json_t *line = run_child (enter_many, &signal_number);

  check_line (line, "signal");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text_of (line, "recent"),
              "an older one (18);an older one (19);a \"test\" (id-1);"));
  CU_ASSERT_PTR_NULL (strstr (text_of (line, "recent"), "older one (1);"));
  json_decref (line);
}

static void
enter_query (void)
{
  bd_crash_enter ("a request", "/x?key=secret");
  raise_signal ();
}

static void
test_query_in_a_subject (void)
{
  int signal_number;
  json_t *line = run_child (enter_query, &signal_number);

  check_line (line, "signal");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text_of (line, "recent"), "a request (/x);"));
  json_decref (line);
}

/* The longest texts, of bytes that JSON escapes or does not allow.  */
static void
enter_odd_bytes (void)
{
  char subject[OLD_SUBJECTS * 4];

  for (size_t i = 0; i < sizeof subject - 1; i++)
    subject[i] = "\"\\\377\303\001"[i % 5];
  subject[sizeof subject - 1] = '\0';
  for (int i = 0; i < OLD_SUBJECTS; i++)
    bd_crash_enter ("an older one with a name that is rather long", subject);
  raise_signal ();
}

static void
test_odd_bytes_in_subjects (void)
{
  int signal_number;
  json_t *line = run_child (enter_odd_bytes, &signal_number);

  check_line (line, "signal");
  CU_ASSERT_PTR_NOT_NULL (strstr (text_of (line, "recent"), "(\"\\??\"\\??"));
  json_decref (line);
}

#ifndef __SANITIZE_ADDRESS__
/* Overwrites what the allocator keeps behind its last block.  */
static void
corrupt_heap (void)
{
  /* The compiler must not know the size of the block.  */
  volatile size_t size = LARGE_BYTES;
  volatile char *block = malloc (size);

  bd_crash_enter ("a \"test\"", "id-1");
  for (size_t i = 0; i < STRAY_BYTES; i++)
    block[size + i] = -1;
  block = malloc (size);
  block[0] = 0;
}

static void
test_allocator_has_the_cause (void)
{
  check_child (corrupt_heap, "malloc(): corrupted top size");
}

/* The handler allocates nothing, though lines were dropped and the record of
   these is due.  */
static void
corrupt_heap_after_dropped_lines (void)
{
  bd_log_init ("child");
  for (int i = 0; i < LOG_LINES; i++)
    bd_log ("test", NULL);
  sleep (1);
  corrupt_heap ();
}

static void
test_last_line_after_dropped_lines (void)
{
  check_child (corrupt_heap_after_dropped_lines, "malloc()");
  CU_ASSERT_PTR_NULL (strstr (output, "log-dropped"));
}

/* The return addresses cannot be found.  */
static void
call_unmapped_address (void)
{
  void (*volatile function) (void) = (void (*) (void)) (uintptr_t)0x414141410;

  bd_crash_enter ("a \"test\"", "id-1");
  function ();
}

static void
test_last_line_without_frames (void)
{
  int signal_number;
  json_t *line = run_child (call_unmapped_address, &signal_number);

  CU_ASSERT_EQUAL (signal_number, SIGSEGV);
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT_STRING_EQUAL (text_of (line, "event"), "aborted");
  CU_ASSERT_STRING_EQUAL (text_of (line, "subject"), "id-1");
  json_decref (line);
}

static size_t
recurse (volatile char *outer, size_t depth)
{
  volatile char inner[STRAY_BYTES];

  inner[0] = outer[0];
  return depth == 0 ? 0 : recurse (inner, depth - 1) + (size_t)inner[0];
}

static void
use_up_stack (void)
{
  volatile char outer = 0;

  bd_crash_enter ("a \"test\"", "id-1");
  recurse (&outer, SIZE_MAX);
}

static void
test_stack_is_used_up (void)
{
  int signal_number;
  json_t *line = run_child (use_up_stack, &signal_number);

  CU_ASSERT_EQUAL (signal_number, SIGSEGV);
  check_line (line, "signal");
  CU_ASSERT_PTR_NOT_NULL (strstr (text_of (line, "address"), "0x"));
  json_decref (line);
}

/* From now on no allocation succeeds that the heap has no room for.  */
static void
limit_memory (void)
{
  struct rlimit none = { 0, 0 };

  bd_log_init ("child");
  bd_crash_enter ("a \"test\"", "id-1");
  setrlimit (RLIMIT_DATA, &none);
}

/* Nor one that it has room for.  */
static void
use_up_memory (void)
{
  limit_memory ();
  for (size_t size = LARGE_BYTES; size > 0; size -= BLOCK_STEP_BYTES)
    while (malloc (size) != NULL)
      ;
}

static void
allocate_large_block (void)
{
  limit_memory ();
  g_free (g_malloc ((size_t)LARGE_BYTES * LARGE_BYTES));
}

static void
allocate_small_block (void)
{
  use_up_memory ();
  g_free (g_malloc (STRAY_BYTES));
}

static void
use_block_that_is_null (void)
{
  volatile char *text;

  use_up_memory ();
  text = talloc_size (NULL, STRAY_BYTES);
  text[0] = 0;
}

static void
test_memory_is_used_up (void)
{
  static void (*const runs[]) (void)
      = { allocate_large_block, allocate_small_block, use_block_that_is_null };

  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    {
      int signal_number;
      json_t *line = run_child (runs[i], &signal_number);

      CU_ASSERT_NOT_EQUAL (signal_number, 0);
      check_line (line, "out of memory");
      json_decref (line);
    }
}

static void
use_freed_memory (void)
{
  char *text = talloc_strdup (NULL, "text");
  char *copy = text;

  bd_crash_enter ("a \"test\"", "id-1");
  talloc_free (text);
  /* Reads what was freed.  */
  talloc_free (copy);
}

static void
test_talloc_aborts (void)
{
  check_child (use_freed_memory, "talloc");
}
#endif

/* A draw among no candidates does not end the process.  */
static void
test_draw_from_empty_range (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  bd_crash_init ("test");
  CU_ASSERT_EQUAL (gsl_rng_uniform_int (rng, 0), 0);
  gsl_rng_free (rng);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "the last line names the cause", test_last_line_names_the_cause },
    { "frames name libraries", test_frames_name_libraries },
    { "the sender of a signal", test_sender_of_a_signal },
    { "recent activities", test_recent_activities },
    { "query in a subject", test_query_in_a_subject },
    { "odd bytes in subjects", test_odd_bytes_in_subjects },
#ifndef __SANITIZE_ADDRESS__
    { "the allocator has the cause", test_allocator_has_the_cause },
    { "the last line after dropped lines",
      test_last_line_after_dropped_lines },
    { "the last line without frames", test_last_line_without_frames },
    { "the stack is used up", test_stack_is_used_up },
    { "memory is used up", test_memory_is_used_up },
    { "talloc aborts", test_talloc_aborts },
#endif
    { "a draw from an empty range", test_draw_from_empty_range },
  };

  return UNIT_RUN ("crash", tests);
}
