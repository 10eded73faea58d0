/* A peer that sends any bytes to a port, reads nothing and leaves.

   hostile_send() for each connection.  Those that are open when the event
   context is freed are closed.  */

#ifndef BD_TESTS_FAKES_HOSTILE_H
#define BD_TESTS_FAKES_HOSTILE_H

#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/* hostile_send(): opens a connection and sends the first part of the bytes,
   and the rest after leave_ms / 2; closes it after leave_ms.  */
void hostile_send (struct tevent_context *events, const char *address,
                   uint32_t port, const char *bytes, size_t size, size_t first,
                   int64_t leave_ms);

#endif
