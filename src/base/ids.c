/* Identifiers, hashes and random numbers.  */

#include "base/ids.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <xxhash.h>

uint64_t
bd_random_seed (void)
{
  uint64_t seed = 0;

  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    seed = (uint64_t)time (NULL);
  return seed;
}

uint64_t
bd_random_u64 (gsl_rng *rng)
{
  uint64_t high = gsl_rng_get (rng);
  uint64_t low = gsl_rng_get (rng);

  return (high << 32) ^ low;
}

void
bd_id_make (gsl_rng *rng, char id[BD_ID_SIZE])
{
  uint64_t high = bd_random_u64 (rng);
  uint64_t low = bd_random_u64 (rng);

  snprintf (id, BD_ID_SIZE, "%016llx%016llx", (unsigned long long)high,
            (unsigned long long)low);
}

uint64_t
bd_hash (const void *data, size_t size)
{
  return XXH64 (data, size, 0);
}

uint64_t
bd_hash_pair (const char *a, const char *b)
{
  return XXH64 (b, strlen (b), XXH64 (a, strlen (a), 0));
}

void
bd_name_copy (char out[BD_NAME_SIZE], const char *name)
{
  snprintf (out, BD_NAME_SIZE, "%s", name != NULL ? name : "");
}
