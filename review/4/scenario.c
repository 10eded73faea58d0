/* UNASKED: a worker runs a request whose Token-Usage or Prompt-Prefix is not
   the client's.  The client sends 50 further headers before them, far below
   MaxHeaderBytes.  */

#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  SIZE = 2,
  REQUESTS = 10,
  FURTHER_HEADERS = 50
};

static const char key[] = "n2ctnfzs989anu6wsjnb";
static const char tokens[] = "1460,80";
static const char prefix[] = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";

int
main (int argc, char **argv)
{
  char extra[8192] = "Model: daka510000\r\n";
  int count = has_trouble () ? FURTHER_HEADERS : 20;
  uint32_t store_port;
  int64_t end_ms;
  bool is_open = false;
  int changed = 0;
  int ran = 0;

  if (argc != 2)
    return 2;
  stand_start (argv[1]);
  for (int i = 0; i < count; i++)
    sprintf (extra + strlen (extra), "X-Baggage-%02d: value-%02d\r\n", i, i);
  sprintf (extra + strlen (extra), "Token-Usage: %s\r\nPrompt-Prefix: %s\r\n",
           tokens, prefix);
  store_port = store_start ();
  worker_add ("i-1", "lm-pool", "rack-1", true, 17);
  worker_add ("i-2", "lm-pool", "rack-1", true, 17);
  workers_start ();
  operator_publish (configuration (
      7,
      json_pack ("[o]", route ("notices", "/notice/", "streaming", "lm-pool",
                               2, 6000)),
      json_pack ("[o]", engine_service ("lm-pool", "daka510000", SIZE, 1.0)),
      json_pack ("[o]", tenant ("hule930", key))));
  daemon_start ("edge-nbo-a-1", "nbo-a", store_port);
  daemon_start ("edge-nbo-a-2", "nbo-a", store_port);
  daemons_wait_ready (20000);
  end_ms = now_ms () + 20000;
  while (!is_open && now_ms () < end_ms)
    {
      sleep_ms (100);
      pthread_mutex_lock (&lock);
      for (int i = 0; i < worker_count; i++)
        is_open = is_open || strcmp (workers[i].state, "open") == 0;
      pthread_mutex_unlock (&lock);
    }
  if (!is_open)
    finish (2);
  sleep_ms (1500);
  for (int i = 0; i < REQUESTS; i++)
    {
      struct daemon *d = &daemons[i % daemon_count];
      struct connection c = { .fd = client_connect (d->callers) };
      struct answer a;
      char id[NAME];

      new_id (id);
      a = client_ask (&c, "POST", "/notice/x", id, key, extra, "{}");
      note ("request %s to %s with %d further headers, %zu bytes: status %d, "
            "%zu bytes of the stream",
            id, d->name, count, strlen (extra), a.status, a.size);
      close_connection (&c);
    }
  for (int i = 0; i < run_count; i++)
    {
      bool is_changed = strcmp (runs[i].tokens, tokens) != 0
                        || strcmp (runs[i].prefix, prefix) != 0
                        || strcmp (runs[i].model, "daka510000") != 0;

      note ("%s ran %s with Model %s, Token-Usage %s, Prompt-Prefix %s%s",
            runs[i].worker, runs[i].id, runs[i].model, runs[i].tokens,
            runs[i].prefix, is_changed ? ": not the client's" : "");
      ran++;
      changed += is_changed;
    }
  note ("%d runs, %d of them with headers that are not the client's", ran,
        changed);
  if (ran == 0)
    finish (2);
  finish (changed > 0 ? 1 : 0);
}
