/* Keeps the set of evacuated data centres.  */

#include "evacuation/evacuation.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* For a daemon's own read, of which one reply may be lost.  */
  OWN_READ_RESERVE_MS = 2000
};

void
bd_evacuation_init (struct bd_evacuation *evacuation)
{
  *evacuation = (struct bd_evacuation){ .names = NULL };
}

void
bd_evacuation_finish (struct bd_evacuation *evacuation)
{
  g_free (evacuation->names);
  bd_evacuation_init (evacuation);
}

bool
bd_evacuation_is_valid (const char *name)
{
  return name[0] != '\0' && strlen (name) < BD_NAME_SIZE;
}

static int
compare (const void *a, const void *b)
{
  const struct bd_evacuation_name *left = a;
  const struct bd_evacuation_name *right = b;

  return strcmp (left->name, right->name);
}

static struct bd_evacuation_name *
find (const struct bd_evacuation *evacuation, const char *name)
{
  struct bd_evacuation_name key = { .is_reported = false };

  if (evacuation->count == 0 || !bd_evacuation_is_valid (name))
    return NULL;
  bd_name_copy (key.name, name);
  return bsearch (&key, evacuation->names, evacuation->count, sizeof key,
                  compare);
}

bool
bd_evacuation_has (const struct bd_evacuation *evacuation,
                   const char *data_centre)
{
  return find (evacuation, data_centre) != NULL;
}

/* Fills in the valid names in order, each once.  */
static void
fill (struct bd_evacuation *evacuation, const char *const *names,
      uint32_t count)
{
  struct bd_evacuation_name *all
      = g_new0 (struct bd_evacuation_name, count > 0 ? count : 1);
  uint32_t valid = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < count; i++)
    if (bd_evacuation_is_valid (names[i]))
      bd_name_copy (all[valid++].name, names[i]);
  qsort (all, valid, sizeof *all, compare);
  for (uint32_t i = 0; i < valid && kept < BD_EVACUATION_MAX_NAMES; i++)
    if (kept == 0 || strcmp (all[kept - 1].name, all[i].name) != 0)
      all[kept++] = all[i];
  evacuation->count = kept;
  evacuation->names = NULL;
  if (kept > 0)
    evacuation->names = g_renew (struct bd_evacuation_name, all, kept);
  else
    g_free (all);
}

/* Calls listen for the names that only one of the two sets has.  Returns
   whether there were any.  */
static bool
tell_changes (const struct bd_evacuation *before,
              const struct bd_evacuation *now, bd_evacuation_listener *listen,
              void *ctx)
{
  uint32_t old = 0;
  uint32_t new = 0;
  bool has_changed = false;

  while (old < before->count || new < now->count)
    {
      int order = old == before->count ? 1
                  : new == now->count
                      ? -1
                      : compare (&before->names[old], &now->names[new]);

      if (order < 0)
        listen (ctx, before->names[old].name, false);
      else if (order > 0)
        listen (ctx, now->names[new].name, true);
      has_changed = has_changed || order != 0;
      old += order <= 0;
      new += order >= 0;
    }
  return has_changed;
}

bool
bd_evacuation_observe (struct bd_evacuation *evacuation,
                       const char *const *names, uint32_t count,
                       int64_t verified_ms, bd_evacuation_listener *listen,
                       void *ctx)
{
  struct bd_evacuation before = *evacuation;
  bool has_changed;

  if (evacuation->has_observation && verified_ms <= evacuation->verified_ms)
    return false;
  evacuation->has_observation = true;
  evacuation->verified_ms = verified_ms;
  if (count == 0 && evacuation->count == 0)
    return false;
  fill (evacuation, names, count);
  for (uint32_t i = 0; i < evacuation->count; i++)
    {
      const struct bd_evacuation_name *held
          = find (&before, evacuation->names[i].name);

      evacuation->names[i].is_reported = held != NULL && held->is_reported;
    }
  has_changed = tell_changes (&before, evacuation, listen, ctx);
  g_free (before.names);
  return has_changed;
}

void
bd_evacuation_note_failure (struct bd_evacuation *evacuation)
{
  evacuation->has_failed = true;
}

bool
bd_evacuation_is_settled (const struct bd_evacuation *evacuation)
{
  return evacuation->has_observation || evacuation->has_failed;
}

void
bd_evacuation_report_unknown (struct bd_evacuation *evacuation,
                              bd_evacuation_filter *is_known,
                              bd_evacuation_listener *listen, void *ctx)
{
  for (uint32_t i = 0; i < evacuation->count; i++)
    {
      struct bd_evacuation_name *name = &evacuation->names[i];

      if (name->is_reported || is_known (ctx, name->name))
        continue;
      name->is_reported = true;
      listen (ctx, name->name, true);
    }
}

int64_t
bd_evacuation_period_ms (int64_t bound_ms)
{
  return MAX ((bound_ms - BD_EVACUATION_RESERVE_MS)
                  / BD_EVACUATION_READS_PER_BOUND,
              BD_EVACUATION_MIN_PERIOD_MS);
}

int64_t
bd_evacuation_own_read_after_ms (int64_t bound_ms)
{
  return MAX (bd_evacuation_period_ms (bound_ms) + BD_EVACUATION_RESERVE_MS,
              bound_ms - OWN_READ_RESERVE_MS);
}
