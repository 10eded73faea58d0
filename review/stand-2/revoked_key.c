/* A key is taken away.  Later than RevokeMs after that all daemons are killed
   at once, and the store comes back from a copy some seconds old; the operator
   writes again what it wrote.  A caller goes on with the revoked key.

   revoked_key FOLDER; with TROUBLE=0 the store comes back as it was.  */

#include "stand.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  DAEMONS = 2,
  FIRST_DAEMON = 2,
  WORKERS = 3,
  FIRST_WORKER = 11,
  REVOKE_MS = 5000,
  SETTLE_US = 2000000,
  COPY_BEFORE_US = 500000,
  AFTER_REVOKED_US = 5600000,
  AWAY_US = 500000,
  WRITE_AGAIN_US = 3000000,
  PERIOD_US = 50000
};

static const char service[] = "wuno96b";
static const char revoked_key[] = "anfqasnmgkcuyj8pjbvk";
static atomic_int runs;
static atomic_int refusals;
static atomic_bool is_over;
static int64_t acknowledged_ms;

static void
handle_worker (int fd)
{
  struct stand_head head = { .read = 0 };

  while (stand_read_head (fd, &head))
    {
      char id[STAND_NAME_SIZE];
      char text[512];

      stand_field (&head, "Attempt-Id", id, sizeof id);
      if (id[0] == 'r' && runs++ < 3)
        stand_record ("worker: runs %s, of the revoked key", id);
      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s.%s\r\n"
                "Content-Length: 2\r\n\r\nok",
                id, id);
      stand_next (&head, head.body_bytes);
      if (!stand_send (fd, text, strlen (text)))
        break;
    }
  close (fd);
}

/* Sends a request with the revoked key.  Returns its status, or 0.  */
static int
ask (int daemon, const char *id)
{
  struct stand_head head = { .read = 0 };
  int fd = stand_connect (stand_address (daemon), STAND_CALLER_PORT);
  char text[512];
  int status = 0;

  snprintf (text, sizeof text,
            "GET /safe/x HTTP/1.1\r\nHost: ficu95.example\r\n"
            "Attempt-Id: %s\r\nDeadline-Ms: 600\r\n"
            "Authorization: Bearer %s\r\nConnection: close\r\n\r\n",
            id, revoked_key);
  if (fd >= 0 && stand_send (fd, text, strlen (text))
      && stand_read_head (fd, &head))
    status = (int)strtol (head.text + sizeof "HTTP/1.1", NULL, 10);
  if (fd >= 0)
    close (fd);
  return status;
}

static void *
run_caller (void *argument)
{
  int number = 0;

  (void)argument;
  while (!is_over)
    {
      char id[STAND_NAME_SIZE];
      int status;

      snprintf (id, sizeof id, "r%06d", number);
      status = ask (FIRST_DAEMON + number++ % DAEMONS, id);
      refusals += status == 401 || status == 503;
      if (status == 200 && runs <= 3)
        stand_record ("caller: %s gets 200, %lld ms after the "
                      "acknowledgement",
                      id, (long long)(stand_now_ms () - acknowledged_ms));
      usleep (PERIOD_US);
    }
  return NULL;
}

static void
put_config (int version, bool has_revoked_key)
{
  json_t *config = stand_config (version, service);

  stand_add_route (config, "/safe/", "safe", service);
  if (has_revoked_key)
    json_array_append_new (
        json_object_get (
            json_array_get (json_object_get (config, "Tenants"), 0),
            "ApiKeys"),
        json_string (revoked_key));
  stand_put ("config", "main", config);
}

int
main (int argc, char **argv)
{
  static const char *const names[DAEMONS] = { "edge-nbo-a-1", "edge-nbo-a-2" };
  const char *trouble = getenv ("TROUBLE");
  bool has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  pid_t daemons[DAEMONS];
  pthread_t caller;

  if (argc != 2)
    return 2;
  stand_init (argv[1]);
  stand_start_store ();
  put_config (7, true);
  for (int i = 0; i < WORKERS; i++)
    stand_start_worker (FIRST_WORKER + i, service, 0, handle_worker);
  for (int i = 0; i < DAEMONS; i++)
    daemons[i] = stand_start_daemon (names[i], FIRST_DAEMON + i, true);
  usleep (SETTLE_US);
  if (ask (FIRST_DAEMON, "before") != 200)
    stand_fail ("the key is not accepted before it is taken away");
  stand_copy ();
  usleep (COPY_BEFORE_US);
  put_config (8, false);
  acknowledged_ms = stand_now_ms ();
  stand_record ("version 8, which takes the key away, is acknowledged");
  usleep (AFTER_REVOKED_US);
  if (ask (FIRST_DAEMON, "between") != 401
      || ask (FIRST_DAEMON + 1, "between") != 401)
    stand_fail ("the key is accepted later than RevokeMs after that");
  stand_record ("the store is away; SIGKILL to all daemons");
  stand_set_away (true);
  for (int i = 0; i < DAEMONS; i++)
    stand_kill_daemon (daemons[i]);
  usleep (AWAY_US);
  if (has_trouble)
    stand_restore ();
  stand_set_away (false);
  stand_record ("the store is back%s",
                has_trouble ? " from a copy, with version 7" : "");
  if (pthread_create (&caller, NULL, run_caller, NULL) != 0)
    stand_fail ("thread");
  for (int i = 0; i < DAEMONS; i++)
    daemons[i] = stand_start_daemon (names[i], FIRST_DAEMON + i, false);
  usleep (WRITE_AGAIN_US);
  put_config (8, false);
  stand_record ("the operator has written version 8 again");
  usleep (SETTLE_US);
  is_over = true;
  pthread_join (caller, NULL);
  stand_record ("%d requests with the revoked key, sent later than RevokeMs "
                "(%d ms) after the acknowledgement, ran; %d were refused: the "
                "rule %s",
                runs, REVOKE_MS, refusals, runs > 0 ? "is broken" : "holds");
  if (runs == 0 && refusals == 0)
    stand_fail ("no request was answered");
  return stand_end (runs > 0 ? 1 : 0);
}
