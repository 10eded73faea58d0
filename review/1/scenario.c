/* CONFIG, API keys: the operator takes the last tenant away, and with it the
   last key.  Requests with that key are sent from half a second after RevokeMs
   on, and some with a key that no configuration ever held.  None may run.  */

#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  REVOKE_MS = 5000,
  REQUESTS = 10
};

static json_t *
make_configuration (int64_t version, json_t *tenants, int timeout_ms)
{
  return configuration (
      version,
      json_pack ("[o,o]",
                 route ("bookings", "/book/", "unsafe", "league-api", 1,
                        timeout_ms),
                 route ("reads", "/table/", "safe", "league-api", 2,
                        timeout_ms)),
      json_pack ("[o]", plain_service ("league-api")), tenants);
}

/* Sends bookings to each daemon; returns how many ran.  */
static int
ask (const char *key, const char *what)
{
  int ran = 0;

  for (int d = 0; d < daemon_count; d++)
    for (int i = 0; i < REQUESTS; i++)
      {
        struct connection c = { .fd = client_connect (daemons[d].callers) };
        struct answer a;
        char id[NAME];

        new_id (id);
        a = client_ask (&c, "POST", "/book/pitch", id, key, "", "{}");
        note ("%s: request %s to %s: status %d, ran %d times", what, id,
              daemons[d].name, a.status, runs_of (id));
        ran += runs_of (id) > 0;
        close_connection (&c);
      }
  return ran;
}

int
main (int argc, char **argv)
{
  uint32_t store_port;
  int64_t acknowledged_ms;
  int with_key;
  int with_unknown_key;

  if (argc != 2)
    return 2;
  stand_start (argv[1]);
  store_port = store_start ();
  worker_add ("i-1", "league-api", "", false, 6);
  worker_add ("i-2", "league-api", "", false, 6);
  workers_start ();
  operator_publish (make_configuration (
      7, json_pack ("[o]", tenant ("hule930", "n2ctnfzs989anu6wsjnb")), 6000));
  daemon_start ("edge-nbo-a-1", "nbo-a", store_port);
  daemon_start ("edge-nbo-a-2", "nbo-a", store_port);
  daemons_wait_ready (20000);
  sleep_ms (1500);
  if (ask ("n2ctnfzs989anu6wsjnb", "before, key held") != 2 * REQUESTS
      || ask ("neverheld0000000000a", "before, key never held") != 0)
    finish (2);
  acknowledged_ms = operator_publish (
      has_trouble ()
          ? make_configuration (12, json_array (), 6000)
          : make_configuration (
              12,
              json_pack ("[o]", tenant ("hule930", "n2ctnfzs989anu6wsjnb")),
              5000));
  sleep_ms (acknowledged_ms + REVOKE_MS + 500 - now_ms ());
  with_key = ask ("n2ctnfzs989anu6wsjnb", "after, key taken away");
  with_unknown_key = ask ("neverheld0000000000a", "after, key never held");
  note ("sent later than RevokeMs after the acknowledgement: %d of %d requests "
        "with the key ran, %d of %d with a key that was never held",
        with_key, 2 * REQUESTS, with_unknown_key, 2 * REQUESTS);
  if (!has_trouble ())
    finish (with_key == 2 * REQUESTS && with_unknown_key == 0 ? 0 : 1);
  finish (with_key > 0 || with_unknown_key > 0 ? 1 : 0);
}
