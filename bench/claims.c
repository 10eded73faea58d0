/* Compares three storage layouts for the claims of calls that must not run
   twice: one object per key, one object per shard, and the segment log that
   the daemon uses.

   Simulates calls that arrive at a steady rate, each with two entries (claim
   and outcome).  The simulated platform completes a write after 4 ms and
   accepts at most 400 writes per second; a layout that needs more writes
   builds up a queue.  */

#include "claims/shard.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WRITE_LATENCY_MS = 4,
  WRITES_PER_S = 400,
  COMMIT_INTERVAL_MS = 60,
  RUN_S = 20,
  MAX_SAMPLES = 2000000
};

struct totals
{
  uint64_t writes;
  double bytes;
  double *latencies_ms;
  uint32_t sample_count;
  double largest_object_bytes;
  uint32_t rejected_count;
};

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static void
print_row (const char *name, double rate, struct totals *t)
{
  qsort (t->latencies_ms, t->sample_count, sizeof *t->latencies_ms,
         compare_doubles);
  printf ("%-28s %8.0f %10.1f %12.0f %10.1f %10.1f %12.0f\n", name, rate,
          (double)t->writes / RUN_S, t->bytes / RUN_S,
          t->sample_count > 0 ? t->latencies_ms[t->sample_count / 2] : 0,
          t->sample_count > 0 ? t->latencies_ms[t->sample_count * 99ULL / 100]
                              : 0,
          t->largest_object_bytes);
}

/* One object per key: every claim and every outcome is one write.  */
static void
run_object_per_key (double rate)
{
  struct totals t = { .latencies_ms = malloc (MAX_SAMPLES * sizeof (double)) };
  double backlog = 0;

  for (int ms = 0; ms < RUN_S * 1000; ms++)
    {
      double served = fmin (backlog + 2 * rate / 1000, WRITES_PER_S / 1000.0);
      backlog += 2 * rate / 1000 - served;
      t.writes = (uint64_t)((double)t.writes + 0);
      t.bytes += served * 200;
      t.latencies_ms[t.sample_count++]
          = WRITE_LATENCY_MS + backlog / (WRITES_PER_S / 1000.0);
    }
  t.writes = (uint64_t)(t.bytes / 200);
  t.largest_object_bytes = 200;
  print_row ("one object per key", rate, &t);
  free (t.latencies_ms);
}

/* One object per shard with all of its live entries: each commit writes the
   whole object again.  */
static void
run_object_per_shard (double rate)
{
  struct totals t = { .latencies_ms = malloc (MAX_SAMPLES * sizeof (double)) };
  double entry_bytes = 200;
  double size = 0;

  for (int ms = 0; ms < RUN_S * 1000; ms += COMMIT_INTERVAL_MS)
    {
      size += rate * COMMIT_INTERVAL_MS / 1000 / BD_CLAIM_SHARDS * entry_bytes;
      t.writes += BD_CLAIM_SHARDS;
      t.bytes += size * BD_CLAIM_SHARDS;
      t.latencies_ms[t.sample_count++]
          = COMMIT_INTERVAL_MS / 2.0 + WRITE_LATENCY_MS;
      t.largest_object_bytes = fmax (t.largest_object_bytes, size);
    }
  print_row ("one object per shard", rate, &t);
  free (t.latencies_ms);
}

struct pending_entry
{
  struct bd_claim claim;
  double at_ms;
};

/* The layout of src/claims: each shard appends its pending entries to its last
   segment once per commit interval.  */
static void
run_segment_log (double rate)
{
  struct totals t = { .latencies_ms = malloc (MAX_SAMPLES * sizeof (double)) };
  uint64_t next_entry = 0;
  double due_entries = 0;
  static struct bd_shard shards[BD_CLAIM_SHARDS];
  static struct pending_entry pending[BD_CLAIM_SHARDS][BD_CLAIM_MAX_BATCH];
  uint32_t pending_counts[BD_CLAIM_SHARDS] = { 0 };
  double last_commit_ms[BD_CLAIM_SHARDS];
  int64_t version = 1;
  json_t *no_segments = json_array ();

  for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
    {
      bd_shard_init (&shards[s], s);
      bd_shard_load (&shards[s], no_segments, 0);
      last_commit_ms[s] = -COMMIT_INTERVAL_MS;
    }
  for (int ms = 0; ms < RUN_S * 1000; ms++)
    {
      for (due_entries += 2 * rate / 1000; due_entries >= 1; due_entries -= 1)
        {
          struct pending_entry entry = { .at_ms = ms };
          uint32_t s;
          /* Even entries are claims, odd ones the outcomes of these claims. */
          snprintf (entry.claim.key, BD_ID_SIZE, "%032llx",
                    (unsigned long long)(next_entry / 2));
          snprintf (entry.claim.id, BD_ID_SIZE, "%032llx",
                    (unsigned long long)(next_entry / 2));
          entry.claim.kind
              = next_entry % 2 == 0 ? BD_CLAIM_TAKE : BD_CLAIM_FINISH;
          entry.claim.at_ms = ms;
          entry.claim.hold_ms = 5000;
          entry.claim.status = 200;
          entry.claim.content_type = "application/json";
          entry.claim.body = "{\"booking\":\"confirmed\",\"number\":12345}";
          next_entry++;
          s = bd_shard_of (entry.claim.key);
          if (pending_counts[s] == BD_CLAIM_MAX_BATCH)
            t.rejected_count++;
          else
            pending[s][pending_counts[s]++] = entry;
        }
      for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
        {
          struct bd_claim *batch[BD_CLAIM_MAX_BATCH];
          struct bd_shard_commit commit;
          if (pending_counts[s] == 0
              || ms - last_commit_ms[s] < COMMIT_INTERVAL_MS)
            continue;
          for (uint32_t i = 0; i < pending_counts[s]; i++)
            batch[i] = &pending[s][i].claim;
          if (!bd_shard_prepare (&shards[s], batch, pending_counts[s], ms,
                                 &commit))
            continue;
          t.writes++;
          t.bytes += (double)commit.bytes;
          t.largest_object_bytes
              = fmax (t.largest_object_bytes, (double)commit.bytes);
          bd_shard_committed (&shards[s], &commit, ++version, NULL, batch,
                              pending_counts[s], ms);
          for (uint32_t i = 0; i < pending_counts[s]; i++)
            if (t.sample_count < MAX_SAMPLES)
              t.latencies_ms[t.sample_count++]
                  = ms - pending[s][i].at_ms + WRITE_LATENCY_MS;
          pending_counts[s] = 0;
          last_commit_ms[s] = ms;
        }
    }
  print_row ("segment log (in use)", rate, &t);
  if (t.rejected_count > 0)
    printf ("  rejected, batch full: %u\n", t.rejected_count);
  for (uint32_t s = 0; s < BD_CLAIM_SHARDS; s++)
    bd_shard_finish (&shards[s]);
  json_decref (no_segments);
  free (t.latencies_ms);
}

int
main (void)
{
  static const double rates[] = { 2, 20, 100, 200, 1000 };

  printf ("\nclaims, %d s, %d shards, write latency %d ms, %d writes/s\n",
          RUN_S, BD_CLAIM_SHARDS, WRITE_LATENCY_MS, WRITES_PER_S);
  printf ("%-28s %8s %10s %12s %10s %10s %12s\n", "layout", "calls/s",
          "writes/s", "bytes/s", "p50 ms", "p99 ms", "largest");
  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      run_object_per_key (rates[i]);
      run_object_per_shard (rates[i]);
      run_segment_log (rates[i]);
    }
  return 0;
}
