/* The loopback address of a test program.

   Each process has one of its own, so that several runs on one machine can use
   the same ports.  */

#ifndef BD_TESTS_LOOPBACK_H
#define BD_TESTS_LOOPBACK_H

#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

/* loopback_address(): the dotted address of this process.  */
static inline const char *
loopback_address (void)
{
  static char text[sizeof "127.255.255.255"];
  uint32_t pid = (uint32_t)getpid ();

  snprintf (text, sizeof text, "127.%u.%u.%u", 64 + (pid >> 16 & 63),
            pid >> 8 & 255, pid & 255);
  return text;
}

#endif
