/* Reads "name x y" rows and fits a line to each name: prints the value at 0,
   the slope, and the largest residual as a part of the largest y.  */

#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_SERIES = 64,
  MAX_POINTS = 64,
  NAME_SIZE = 64
};

struct series
{
  char name[NAME_SIZE];
  double x[MAX_POINTS];
  double y[MAX_POINTS];
  size_t count;
};

static struct series all[MAX_SERIES];
static size_t used;

static struct series *
find (const char *name)
{
  for (size_t i = 0; i < used; i++)
    if (strcmp (all[i].name, name) == 0)
      return &all[i];
  snprintf (all[used].name, NAME_SIZE, "%s", name);
  return &all[used++];
}

static void
print_fit (const struct series *s)
{
  double start = 0;
  double slope = 0;
  double c00;
  double c01;
  double c11;
  double squares;
  double worst = 0;
  double most = 0;

  gsl_fit_linear (s->x, 1, s->y, 1, s->count, &start, &slope, &c00, &c01, &c11,
                  &squares);
  for (size_t i = 0; i < s->count; i++)
    {
      worst = fmax (worst, fabs (s->y[i] - start - slope * s->x[i]));
      most = fmax (most, fabs (s->y[i]));
    }
  printf ("%s\t%.4g\t%.4g\t%.1f%%%s\n", s->name, start, slope,
          most > 0 ? 100 * worst / most : 0,
          most > 0 && worst > 0.1 * most ? "\tnot straight" : "");
}

int
main (void)
{
  char name[NAME_SIZE];
  double x;
  double y;

  while (scanf ("%63s %lf %lf", name, &x, &y) == 3 && used < MAX_SERIES)
    {
      struct series *s = find (name);
      if (s->count == MAX_POINTS)
        continue;
      s->x[s->count] = x;
      s->y[s->count++] = y;
    }
  printf ("series\tat 0\tslope\tworst residual\n");
  for (size_t i = 0; i < used; i++)
    print_fit (&all[i]);
  return 0;
}
