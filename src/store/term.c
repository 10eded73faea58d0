/* Acquires terms.  */

#include "store/term.h"

#include <string.h>

static void
finish (struct bd_term *term, enum bd_error error)
{
  term->is_pending = false;
  term->done (term->ctx, error);
}

static void
handle_written (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_term *term = ctx;

  if (reply->error == BD_OK)
    {
      term->era = reply->era;
      term->token = bd_term_token (term->era, term->number);
    }
  finish (term, reply->error);
}

/* The number of the last term.  One that no daemon can have written is passed
   over, in favour of the last term of this daemon.  */
static int64_t
last_number (const struct bd_term *term, const json_t *data)
{
  const json_t *number = json_object_get (data, "term");
  json_int_t value = json_integer_value (number);

  if (number == NULL)
    return 0;
  return json_is_integer (number) && value >= 0 && value < BD_TERMS_PER_ERA - 1
             ? value
             : term->number;
}

static void
handle_read (void *ctx, const struct bd_store_reply *reply)
{
  struct bd_term *term = ctx;

  if (reply->error != BD_OK && reply->error != BD_ERR_NOT_FOUND)
    {
      finish (term, reply->error);
      return;
    }
  term->number = last_number (term, reply->data) + 1;
  bd_store_update (term->store, BD_PRIORITY_GROUPS, term->key, reply->version,
                   reply->envelope,
                   json_pack ("{s:I,s:s}", "term", (json_int_t)term->number,
                              "holder", term->holder),
                   term->timeout_ms, handle_written, term);
}

void
bd_term_init (struct bd_term *term, struct bd_store *store, const char *key,
              const char *holder, bd_term_done *done, void *ctx)
{
  memset (term, 0, sizeof *term);
  term->store = store;
  term->key = key;
  term->holder = holder;
  term->done = done;
  term->ctx = ctx;
}

void
bd_term_acquire (struct bd_term *term, uint32_t timeout_ms)
{
  if (term->is_pending)
    return;
  term->is_pending = true;
  term->timeout_ms = timeout_ms;
  bd_store_read (term->store, BD_PRIORITY_GROUPS, term->key, timeout_ms,
                 handle_read, term);
}

int64_t
bd_term_token (int64_t era, int64_t number)
{
  return era * BD_TERMS_PER_ERA + number;
}
