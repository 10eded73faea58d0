/* An edge daemon in a process of its own, as users run it.

   process_start(); process_has_ended(); process_finish().  The daemon ends
   with the test.  */

#ifndef BD_TESTS_FAKES_PROCESS_H
#define BD_TESTS_FAKES_PROCESS_H

#include "edge/settings.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct process_options
{
  const char *program;
  const char *settings_path; /* The file is written.  */
  const char *log_path;      /* NULL for none.  */
  const char *omits;         /* A key that the settings lack; may be NULL.  */
  uint32_t data_mb;          /* Limit of the data segment; 0 for none.  */
  uint32_t descriptors;      /* Limit of descriptors; 0 for none.  */
  bool has_no_output;        /* Standard descriptors are closed.  */
  /* SIGHUP and SIGTERM wait until the program lets them arrive.  Otherwise
     they end the process before main().  */
  bool holds_signals;
};

/* process_start(): returns the process, or -1.  Numbers of the settings that
   are 0 are left to their defaults.  */
pid_t process_start (const struct bd_edge_settings *settings,
                     const struct process_options *options);

/* process_has_ended(): whether the process has ended; it is reaped then.  */
bool process_has_ended (pid_t pid);

/* process_finish(): kills a process that has not ended.  */
void process_finish (pid_t pid);

#endif
