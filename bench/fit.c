/* Reads "name x y" rows and fits a line to each name: prints the value at 0,
   the slope, and the largest residual as a part of the largest y.  Then fits
   the processor time of a daemon over all fleets to its messages and polls. */

#include <gsl/gsl_fit.h>
#include <gsl/gsl_multifit.h>
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

static double
value_at (const char *prefix, const char *label, double x)
{
  char wanted[2 * NAME_SIZE];
  const struct series *s;

  snprintf (wanted, sizeof wanted, "%s.%s", prefix, label);
  s = find (wanted);
  for (size_t i = 0; i < s->count; i++)
    if (s->x[i] == x)
      return s->y[i];
  return NAN;
}

/* cpu = base + message * messages/s + poll * polls/s.  */
static void
fit_cpu (void)
{
  static const char prefix[] = "daemon-cpu-percent.";
  double rows[MAX_SERIES][3];
  size_t count = 0;
  gsl_matrix *x;
  gsl_vector *y;
  gsl_vector *c;
  gsl_matrix *cov;
  gsl_multifit_linear_workspace *work;
  double squares;
  double worst = 0;

  for (size_t i = 0; i < used; i++)
    for (size_t p = 0; p < all[i].count && count < MAX_SERIES; p++)
      {
        const char *label = all[i].name + strlen (prefix);
        if (strncmp (all[i].name, prefix, strlen (prefix)) != 0)
          continue;
        rows[count][0] = all[i].y[p];
        rows[count][1]
            = value_at ("daemon-messages-per-s", label, all[i].x[p]);
        rows[count++][2] = value_at ("daemon-polls-per-s", label, all[i].x[p]);
      }
  if (count < 4)
    return;
  x = gsl_matrix_alloc (count, 3);
  y = gsl_vector_alloc (count);
  c = gsl_vector_alloc (3);
  cov = gsl_matrix_alloc (3, 3);
  for (size_t i = 0; i < count; i++)
    {
      gsl_matrix_set (x, i, 0, 1);
      gsl_matrix_set (x, i, 1, rows[i][1]);
      gsl_matrix_set (x, i, 2, rows[i][2]);
      gsl_vector_set (y, i, rows[i][0]);
    }
  work = gsl_multifit_linear_alloc (count, 3);
  gsl_multifit_linear (x, y, c, cov, &squares, work);
  for (size_t i = 0; i < count; i++)
    worst = fmax (worst, fabs (rows[i][0] - gsl_vector_get (c, 0)
                               - gsl_vector_get (c, 1) * rows[i][1]
                               - gsl_vector_get (c, 2) * rows[i][2]));
  printf ("cpu percent = %.3f + %.5f * messages/s + %.5f * polls/s, "
          "worst residual %.3f of %zu fleets\n",
          gsl_vector_get (c, 0), gsl_vector_get (c, 1), gsl_vector_get (c, 2),
          worst, count);
  gsl_multifit_linear_free (work);
  gsl_matrix_free (x);
  gsl_matrix_free (cov);
  gsl_vector_free (y);
  gsl_vector_free (c);
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
    if (all[i].count > 1)
      print_fit (&all[i]);
  fit_cpu ();
  return 0;
}
