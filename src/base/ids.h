/* Identifiers, hashes and random numbers.  */

#ifndef BD_BASE_IDS_H
#define BD_BASE_IDS_H

#include <gsl/gsl_rng.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Characters of a 128-bit id in hexadecimal, with the final zero.  */
  BD_ID_SIZE = 33,
  /* Characters of any name (service, instance, account), with the zero.  */
  BD_NAME_SIZE = 64
};

/* bd_random_seed(): a seed from the kernel.  */
uint64_t bd_random_seed (void);

/* bd_random_u64(): 64 random bits from rng.  */
uint64_t bd_random_u64 (gsl_rng *rng);

/* bd_id_make(): a fresh 128-bit id in id, in hexadecimal.  */
void bd_id_make (gsl_rng *rng, char id[BD_ID_SIZE]);

/* bd_hash(): 64-bit hash of size bytes of data, stable across builds.  */
uint64_t bd_hash (const void *data, size_t size);

/* bd_hash_pair(): hash of two strings, order matters.  Used to rank members
   for a key (rendezvous hashing).  */
uint64_t bd_hash_pair (const char *a, const char *b);

/* bd_name_copy(): copies a name into a field of BD_NAME_SIZE; cuts a longer
   one.  NULL is copied as the empty name.  */
void bd_name_copy (char out[BD_NAME_SIZE], const char *name);

#endif
