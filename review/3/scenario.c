/* LOST: a request from a kept connection is passed on to a sound worker, which
   answers it, and its connection is closed without an answer.  The head of the
   request is long, and within MaxHeaderBytes.  */

#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  MAX_HEADER_BYTES = 16384,
  FIRST_BYTES = 6000,
  LAST_BYTES = 8500,
  STEP_BYTES = 25
};

static const char key[] = "n2ctnfzs989anu6wsjnb";

static char *
make_cookie (size_t bytes)
{
  static const char name[] = "Cookie: session=";
  char *text = malloc (bytes + 3);

  memset (text, 'c', bytes);
  memcpy (text, name, sizeof name - 1);
  strcpy (text + bytes, "\r\n");
  return text;
}

int
main (int argc, char **argv)
{
  uint32_t store_port;
  int asked = 0;
  int lost = 0;
  int answered = 0;
  int refused = 0;

  if (argc != 2)
    return 2;
  stand_start (argv[1]);
  /* What an application adds to its answers.  */
  answer_headers
      = "Content-Type: application/json; charset=utf-8\r\n"
        "Cache-Control: no-store, no-cache, must-revalidate, max-age=0\r\n"
        "Strict-Transport-Security: max-age=31536000; includeSubDomains\r\n"
        "X-Content-Type-Options: nosniff\r\nX-Frame-Options: DENY\r\n"
        "Referrer-Policy: strict-origin-when-cross-origin\r\n"
        "Content-Security-Policy: default-src 'none'; "
        "frame-ancestors 'none'\r\n"
        "Vary: Accept-Encoding, Origin, Authorization\r\n";
  store_port = store_start ();
  worker_add ("i-1", "league-api", "", false, 6);
  worker_add ("i-2", "league-api", "", false, 6);
  workers_start ();
  operator_publish (configuration (
      7,
      json_pack ("[o]", route ("bookings", "/book/", "unsafe", "league-api", 1,
                               6000)),
      json_pack ("[o]", plain_service ("league-api")),
      json_pack ("[o]", tenant ("hule930", key))));
  daemon_start ("edge-nbo-a-1", "nbo-a", store_port);
  daemon_start ("edge-nbo-a-2", "nbo-a", store_port);
  daemons_wait_ready (20000);
  sleep_ms (1500);
  for (size_t bytes = FIRST_BYTES; bytes <= LAST_BYTES; bytes += STEP_BYTES)
    {
      struct daemon *d = &daemons[asked % daemon_count];
      struct connection c = { .fd = client_connect (d->callers) };
      char *cookie = make_cookie (has_trouble () ? bytes : 60);
      struct answer a;
      char id[NAME];

      /* The connection is a kept one: it has brought an answer before.  */
      new_id (id);
      a = client_ask (&c, "POST", "/book/pitch", id, key, "", "{}");
      if (a.status != 200)
        finish (2);
      new_id (id);
      a = client_ask (&c, "POST", "/book/pitch", id, key, cookie, "{}");
      note ("request %s to %s, head of about %zu of %d bytes: status %d, ran "
            "%d times%s",
            id, d->name, strlen (cookie) + 200, MAX_HEADER_BYTES, a.status,
            runs_of (id),
            a.status == 0 ? ", the connection ended without an answer" : "");
      asked++;
      lost += a.status == 0 && runs_of (id) > 0;
      answered += a.status == 200;
      refused += a.status >= 400;
      free (cookie);
      close_connection (&c);
    }
  for (int i = 0; i < daemon_count; i++)
    if (!daemon_is_running (&daemons[i]))
      finish (1);
  note ("%d requests: %d answered, %d refused, %d ran and their connection "
        "ended without an answer (more than three break the rule)",
        asked, answered, refused, lost);
  finish (lost > 3 ? 1 : 0);
}
