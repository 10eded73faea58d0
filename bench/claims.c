/* Ways to record calls that may not be repeated, measured against a stand-in
   of the platform: one object a key, one object a shard, and the log of
   segments that the product uses.

   Two writes a call (claim and outcome), calls at a steady rate, an answer of
   the platform after 4 ms, 400 writes a second at most.  A way that asks for
   more builds a queue.  */

#include "claims/shard.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ANSWER_MS = 4,
  WRITES_PER_S = 400,
  SPACING_MS = 60,
  RUN_S = 20,
  MAX_WAITS = 2000000
};

struct totals
{
  uint64_t writes;
  double bytes;
  double *waits_ms;
  uint32_t wait_count;
  double largest_object;
  uint32_t refused;
};

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static void
print (const char *name, double rate, struct totals *t)
{
  qsort (t->waits_ms, t->wait_count, sizeof *t->waits_ms, compare);
  printf ("%-28s %8.0f %10.1f %12.0f %10.1f %10.1f %12.0f\n", name, rate,
          (double)t->writes / RUN_S, t->bytes / RUN_S,
          t->wait_count > 0 ? t->waits_ms[t->wait_count / 2] : 0,
          t->wait_count > 0 ? t->waits_ms[t->wait_count * 99ULL / 100] : 0,
          t->largest_object);
}

/* One object a key: each claim and each outcome is a write.  */
static void
run_single (double rate)
{
  struct totals t = { .waits_ms = malloc (MAX_WAITS * sizeof (double)) };
  double backlog = 0;

  for (int ms = 0; ms < RUN_S * 1000; ms++)
    {
      double served = fmin (backlog + 2 * rate / 1000, WRITES_PER_S / 1000.0);
      backlog += 2 * rate / 1000 - served;
      t.writes = (uint64_t)((double)t.writes + 0);
      t.bytes += served * 200;
      t.waits_ms[t.wait_count++]
          = ANSWER_MS + backlog / (WRITES_PER_S / 1000.0);
    }
  t.writes = (uint64_t)(t.bytes / 200);
  t.largest_object = 200;
  print ("one object a key", rate, &t);
  free (t.waits_ms);
}

/* One object a shard that holds every live entry: the whole value is written
   with each commit.  */
static void
run_whole_shard (double rate)
{
  struct totals t = { .waits_ms = malloc (MAX_WAITS * sizeof (double)) };
  double entry_bytes = 200;
  double size = 0;

  for (int ms = 0; ms < RUN_S * 1000; ms += SPACING_MS)
    {
      size += rate * SPACING_MS / 1000 / BD_CLAIM_SHARDS * entry_bytes;
      t.writes += BD_CLAIM_SHARDS;
      t.bytes += size * BD_CLAIM_SHARDS;
      t.waits_ms[t.wait_count++] = SPACING_MS / 2.0 + ANSWER_MS;
      t.largest_object = fmax (t.largest_object, size);
    }
  print ("one object a shard", rate, &t);
  free (t.waits_ms);
}

struct open_call
{
  struct bd_claim claim;
  double at_ms;
};

/* The product's shards: a commit as soon as one may be made.  */
static void
run_log (double rate)
{
  struct totals t = { .waits_ms = malloc (MAX_WAITS * sizeof (double)) };
  uint64_t next = 0;
  double due = 0;
  static struct bd_shard shards[BD_CLAIM_SHARDS];
  static struct open_call waiting[BD_CLAIM_SHARDS][BD_CLAIM_MAX_BATCH];
  uint32_t counts[BD_CLAIM_SHARDS] = { 0 };
  double last_ms[BD_CLAIM_SHARDS];
  int64_t version = 1;
  json_t *empty = json_array ();

  for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
    {
      bd_shard_init (&shards[s], s);
      bd_shard_load (&shards[s], empty, 0);
      last_ms[s] = -SPACING_MS;
    }
  for (int ms = 0; ms < RUN_S * 1000; ms++)
    {
      for (due += 2 * rate / 1000; due >= 1; due -= 1)
        {
          struct open_call call = { .at_ms = ms };
          uint32_t s;
          /* The outcome of a call follows its claim.  */
          snprintf (call.claim.key, BD_ID_SIZE, "%032llx",
                    (unsigned long long)(next / 2));
          snprintf (call.claim.id, BD_ID_SIZE, "%032llx",
                    (unsigned long long)(next / 2));
          call.claim.kind = next % 2 == 0 ? BD_CLAIM_TAKE : BD_CLAIM_FINISH;
          call.claim.at_ms = ms;
          call.claim.hold_ms = 5000;
          call.claim.status = 200;
          call.claim.content_type = "application/json";
          call.claim.body = "{\"booking\":\"confirmed\",\"number\":12345}";
          next++;
          s = bd_shard_of (call.claim.key);
          if (counts[s] == BD_CLAIM_MAX_BATCH)
            t.refused++;
          else
            waiting[s][counts[s]++] = call;
        }
      for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
        {
          struct bd_claim *batch[BD_CLAIM_MAX_BATCH];
          struct bd_shard_commit commit;
          if (counts[s] == 0 || ms - last_ms[s] < SPACING_MS)
            continue;
          for (uint32_t i = 0; i < counts[s]; i++)
            batch[i] = &waiting[s][i].claim;
          if (!bd_shard_prepare (&shards[s], batch, counts[s], ms, &commit))
            continue;
          t.writes++;
          t.bytes += (double)commit.bytes;
          t.largest_object = fmax (t.largest_object, (double)commit.bytes);
          bd_shard_committed (&shards[s], &commit, ++version, NULL, batch,
                              counts[s], ms);
          for (uint32_t i = 0; i < counts[s]; i++)
            if (t.wait_count < MAX_WAITS)
              t.waits_ms[t.wait_count++]
                  = ms - waiting[s][i].at_ms + ANSWER_MS;
          counts[s] = 0;
          last_ms[s] = ms;
        }
    }
  print ("log of segments (ours)", rate, &t);
  if (t.refused > 0)
    printf ("  refused: %u\n", t.refused);
  for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
    bd_shard_finish (&shards[s]);
  json_decref (empty);
  free (t.waits_ms);
}

int
main (void)
{
  static const double rates[] = { 2, 20, 100, 200, 1000 };

  printf ("\nclaims, %d s, %d shards, answers after %d ms, %d writes/s\n",
          RUN_S, BD_CLAIM_SHARDS, ANSWER_MS, WRITES_PER_S);
  printf ("%-28s %8s %10s %12s %10s %10s %12s\n", "way", "calls/s", "writes/s",
          "bytes/s", "p50 ms", "p99 ms", "largest");
  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      run_single (rates[i]);
      run_whole_shard (rates[i]);
      run_log (rates[i]);
    }
  return 0;
}
