/* Stand-ins for the scripts of the second review: the platform's store, as
   the users' page on the protocol describes it, listening workers, a caller,
   and the daemon as a child process.

   All functions end the process with status 2 if the machine does not let them
   work, so that a case that could not run is not taken for a result.  */

#ifndef STAND_H
#define STAND_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  STAND_NAME_SIZE = 64,
  STAND_HEAD_SIZE = 16 * 1024,
  STAND_STORE_PORT = 8223,
  STAND_CALLER_PORT = 8227,
  STAND_READY_PORT = 8220,
  STAND_WORKER_PORT = 8080
};

/* The head of a request or a response, and what was read behind it.  */
struct stand_head
{
  char text[STAND_HEAD_SIZE];
  size_t size; /* With the empty line.  */
  size_t read; /* All bytes in text.  */
  size_t body_bytes;
};

/* stand_init(): to be called first.  Uses the addresses 127.A.B.x, where A and
   B depend on the process; opens the record.  */
void stand_init (const char *folder);

/* stand_address(): the address 127.A.B.NUMBER.  */
const char *stand_address (int number);

/* stand_now_ms(): the time since stand_init().  */
int64_t stand_now_ms (void);

/* stand_record(): writes a line with the time to the record.  */
void stand_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* stand_fail(): the case cannot run.  */
void stand_fail (const char *what) __attribute__ ((noreturn));

/* stand_start_store(): serves the store.  */
void stand_start_store (void);

/* stand_put(): writes an object as the operator or a worker does.  Takes the
   reference to spec.  */
void stand_put (const char *kind, const char *name, json_t *spec);

/* stand_config(): a configuration without routes, with one service.  */
json_t *stand_config (int version, const char *service);

/* stand_add_route(): type is "safe", "unsafe" or "streaming".  */
json_t *stand_add_route (json_t *config, const char *prefix, const char *type,
                         const char *service);

/* stand_start_worker(): listens and registers a worker; handle is called in a
   thread of its own for each connection, which it closes.  */
void stand_start_worker (int number, const char *service, int receive_bytes,
                         void (*handle) (int fd));

/* stand_set_away(): whether the store closes the connections of all calls.  */
void stand_set_away (bool is_away);

/* stand_copy(), stand_restore(): a copy of the store, and its restore, with
   which the header Store-Era rises by one.  */
void stand_copy (void);
void stand_restore (void);

/* stand_start_daemon(): starts "burdockdale edge" with the settings of a small
   deployment and waits until it is ready.  */
pid_t stand_start_daemon (const char *name, int number, bool is_first_start);

/* stand_kill_daemon(): SIGKILL.  */
void stand_kill_daemon (pid_t pid);

/* stand_end(): ends the daemons; returns status.  */
int stand_end (int status);

/* stand_read_head(): reads a head into one that has been cleared, or that
   holds bytes of the next one.  Returns false at the end of the
   connection.  */
bool stand_read_head (int fd, struct stand_head *head);

/* stand_field(): copies the value of a field to out; empty without it.  */
void stand_field (const struct stand_head *head, const char *name, char *out,
                  size_t size);

/* stand_next(): drops the head and the body bytes that were read with it.  */
void stand_next (struct stand_head *head, size_t body_bytes);

bool stand_send (int fd, const void *data, size_t size);

/* stand_connect(): a connection of a caller to a daemon.  */
int stand_connect (const char *address, int port);

#endif
