/* The last line of a process that ends by a fault.

   A failed assertion, a panic of a library or a fatal signal writes one JSON
   line to standard output.  Writing it is async-signal-safe, allocates nothing
   and has a stack of its own.  The process then ends by the signal.

     signal, code  The signal, and si_code: SI_TKILL (-6) for an abort of the
                   process itself, SI_USER (0) for a signal that another
                   process has sent.
     sender        Process that has sent the signal, if another one has.
     address       That a memory access has failed at.
     cause         The assertion, the panic, or the words of the C library, as
                   its allocator has for a corrupted heap; "out of memory" if
                   the last error of the process is a failed allocation;
                   "signal" otherwise.
     activity, subject
                   What the process did, and for which request or connection.
     recent        The same of the last activities, oldest first.
     build         Build id of the program.
     frames        Return addresses as MODULE+OFFSET (addr2line -e).
     libraries     Build ids of the modules of these, besides the program.  */

#ifndef BD_BASE_CRASH_H
#define BD_BASE_CRASH_H

#include <stdint.h>

/* bd_crash_init(): handles fatal signals, and aborts of talloc and GSL, from
   now on, and reads which modules are loaded.  process_name must outlive the
   process.  */
void bd_crash_init (const char *process_name);

/* bd_crash_build(): the build id of the program in hexadecimal digits; empty
   before bd_crash_init(), or if the linker wrote none.  */
const char *bd_crash_build (void);

/* bd_crash_enter(): the process now does activity, a constant, for subject,
   for example the id of a request.  subject is copied and cut, also at a
   query, which can hold keys; it may be NULL.  */
void bd_crash_enter (const char *activity, const char *subject);

/* bd_crash_abort(): ends the process for a reason found in a line of a file.
 */
_Noreturn void bd_crash_abort (const char *kind, const char *file,
                               uint32_t line, const char *reason);

/* An invariant of this process.  What a peer, a caller or the clock can cause
   is an error of one request instead.  */
#define BD_ASSERT(condition)                                                  \
  ((condition)                                                                \
       ? (void)0                                                              \
       : bd_crash_abort ("assertion", __FILE__, __LINE__, #condition))

#endif
