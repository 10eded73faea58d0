/* Terms: the right to order the instances of a data centre.

   The store holds the number of the last term and its holder in one object.  A
   daemon acquires the next term by raising the number in a conditional update,
   so a number is given out once.  A store that is restored from a copy gives
   out the numbers since the copy again; its era is higher then.  The fencing
   token of a term consists of the era and the number, the era first, so no two
   daemons ever hold the same token, and a later token is higher.  Reading the
   highest token back from the instances would not do: the one that holds it
   can be cut off.

   bd_term_init(), then bd_term_acquire(); done is called with the token.  */

#ifndef BD_STORE_TERM_H
#define BD_STORE_TERM_H

#include "store/client.h"

enum
{
  /* Limit on the terms of one data centre in one era of the store.  */
  BD_TERMS_PER_ERA = 1 << 24
};

struct bd_term;

/* error is BD_OK when the term was acquired.  */
typedef void bd_term_done (void *ctx, enum bd_error error);

struct bd_term
{
  struct bd_store *store;
  const char *key;    /* Of the object.  */
  const char *holder; /* Name of this daemon.  */
  bd_term_done *done;
  void *ctx;
  uint32_t timeout_ms;
  bool is_pending; /* Being acquired.  */
  int64_t number;  /* Of the last term acquired, within the era.  */
  int64_t era;
  int64_t token; /* 0 before the first one is acquired.  */
};

/* bd_term_init(): store, key and holder have to outlive term.  */
void bd_term_init (struct bd_term *term, struct bd_store *store,
                   const char *key, const char *holder, bd_term_done *done,
                   void *ctx);

/* bd_term_acquire(): starts the store calls, unless they are in progress.
   Each may take timeout_ms.  */
void bd_term_acquire (struct bd_term *term, uint32_t timeout_ms);

/* bd_term_token(): the fencing token of a term.  */
int64_t bd_term_token (int64_t era, int64_t number);

#endif
