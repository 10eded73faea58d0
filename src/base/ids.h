/* Identifiers, hashes and random numbers.  */

#ifndef BD_BASE_IDS_H
#define BD_BASE_IDS_H

#include <gsl/gsl_rng.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Size of a 128-bit id in hexadecimal, with the final null byte.  */
  BD_ID_SIZE = 33,
  /* Size of the name of a service, an instance or a model, with the final
     null byte.  */
  BD_NAME_SIZE = 64
};

/* bd_random_seed(): a random seed from the kernel, or the current time if the
   kernel returns none.  */
uint64_t bd_random_seed (void);

/* bd_random_u64(): 64 random bits from rng.  */
uint64_t bd_random_u64 (gsl_rng *rng);

/* bd_id_make(): writes a new random 128-bit id to id, in hexadecimal.  */
void bd_id_make (gsl_rng *rng, char id[BD_ID_SIZE]);

/* bd_hash(): 64-bit hash of size bytes of data.  The same in all builds.  */
uint64_t bd_hash (const void *data, size_t size);

/* bd_hash_pair(): hash of two strings; their order matters.  Ranks members for
   a key (rendezvous hashing).  */
uint64_t bd_hash_pair (const char *a, const char *b);

/* bd_name_copy(): copies name to out and truncates it to BD_NAME_SIZE - 1
   characters.  Copies NULL as the empty string.  */
void bd_name_copy (char out[BD_NAME_SIZE], const char *name);

#endif
