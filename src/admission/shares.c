/* Fair shares by virtual time.  */

#include "admission/shares.h"

#include <math.h>

void
bd_share_start (struct bd_share *share, double virtual_time)
{
  share->finish = fmax (virtual_time, share->finish);
}

double
bd_share_charge (struct bd_share *share)
{
  share->finish += 1.0 / share->weight;
  return share->finish;
}

double
bd_share_advance (const struct bd_share *share, double finish,
                  double virtual_time)
{
  return fmax (virtual_time, finish - 1.0 / share->weight);
}

bool
bd_share_has_more (const struct bd_share *share, const struct bd_share *other)
{
  return share->waiting / share->weight > other->waiting / other->weight;
}
