/* Reads rows "name x y" from stdin and fits a straight line to each series.
   Prints the intercept, the slope and the largest residual as a percentage of
   the largest y.  Then fits the CPU use of a daemon, over all fleet sizes, to
   its rates of messages and polls.  */

#include <gsl/gsl_fit.h>
#include <gsl/gsl_multifit.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_SERIES = 128,
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

static struct series all_series[MAX_SERIES];
static size_t series_count;

static struct series *
find_or_add_series (const char *name)
{
  for (size_t i = 0; i < series_count; i++)
    if (strcmp (all_series[i].name, name) == 0)
      return &all_series[i];
  snprintf (all_series[series_count].name, NAME_SIZE, "%s", name);
  return &all_series[series_count++];
}

static void
print_fit (const struct series *s)
{
  double intercept = 0;
  double slope = 0;
  double cov00;
  double cov01;
  double cov11;
  double residual_squares;
  double max_residual = 0;
  double max_y = 0;

  gsl_fit_linear (s->x, 1, s->y, 1, s->count, &intercept, &slope, &cov00,
                  &cov01, &cov11, &residual_squares);
  for (size_t i = 0; i < s->count; i++)
    {
      max_residual
          = fmax (max_residual, fabs (s->y[i] - intercept - slope * s->x[i]));
      max_y = fmax (max_y, fabs (s->y[i]));
    }
  printf ("%s\t%.4g\t%.4g\t%.1f%%%s\n", s->name, intercept, slope,
          max_y > 0 ? 100 * max_residual / max_y : 0,
          max_y > 0 && max_residual > 0.1 * max_y ? "\tnot linear" : "");
}

static double
value_at (const char *prefix, const char *label, double x)
{
  char series_name[2 * NAME_SIZE];
  const struct series *s;

  snprintf (series_name, sizeof series_name, "%s.%s", prefix, label);
  s = find_or_add_series (series_name);
  for (size_t i = 0; i < s->count; i++)
    if (s->x[i] == x)
      return s->y[i];
  return NAN;
}

/* Fits cpu = base + message * messages/s + poll * polls/s.  */
static void
fit_cpu (void)
{
  static const char prefix[] = "daemon-cpu-percent.";
  double rows[MAX_SERIES][3];
  size_t count = 0;
  gsl_matrix *x;
  gsl_vector *y;
  gsl_vector *coefficients;
  gsl_matrix *covariance;
  gsl_multifit_linear_workspace *workspace;
  double residual_squares;
  double max_residual = 0;

  for (size_t i = 0; i < series_count; i++)
    for (size_t p = 0; p < all_series[i].count && count < MAX_SERIES; p++)
      {
        const char *label = all_series[i].name + strlen (prefix);
        if (strncmp (all_series[i].name, prefix, strlen (prefix)) != 0)
          continue;
        rows[count][0] = all_series[i].y[p];
        rows[count][1]
            = value_at ("daemon-messages-per-s", label, all_series[i].x[p]);
        rows[count++][2]
            = value_at ("daemon-polls-per-s", label, all_series[i].x[p]);
      }
  if (count < 4)
    return;
  x = gsl_matrix_alloc (count, 3);
  y = gsl_vector_alloc (count);
  coefficients = gsl_vector_alloc (3);
  covariance = gsl_matrix_alloc (3, 3);
  for (size_t i = 0; i < count; i++)
    {
      gsl_matrix_set (x, i, 0, 1);
      gsl_matrix_set (x, i, 1, rows[i][1]);
      gsl_matrix_set (x, i, 2, rows[i][2]);
      gsl_vector_set (y, i, rows[i][0]);
    }
  workspace = gsl_multifit_linear_alloc (count, 3);
  gsl_multifit_linear (x, y, coefficients, covariance, &residual_squares,
                       workspace);
  for (size_t i = 0; i < count; i++)
    max_residual = fmax (
        max_residual, fabs (rows[i][0] - gsl_vector_get (coefficients, 0)
                            - gsl_vector_get (coefficients, 1) * rows[i][1]
                            - gsl_vector_get (coefficients, 2) * rows[i][2]));
  printf ("cpu percent = %.3f + %.5f * messages/s + %.5f * polls/s, "
          "largest residual %.3f, %zu fleets\n",
          gsl_vector_get (coefficients, 0), gsl_vector_get (coefficients, 1),
          gsl_vector_get (coefficients, 2), max_residual, count);
  gsl_multifit_linear_free (workspace);
  gsl_matrix_free (x);
  gsl_matrix_free (covariance);
  gsl_vector_free (y);
  gsl_vector_free (coefficients);
}

int
main (void)
{
  char name[NAME_SIZE];
  double x;
  double y;

  while (scanf ("%63s %lf %lf", name, &x, &y) == 3
         && series_count < MAX_SERIES)
    {
      struct series *s = find_or_add_series (name);
      if (s->count == MAX_POINTS)
        continue;
      s->x[s->count] = x;
      s->y[s->count++] = y;
    }
  printf ("series\tintercept\tslope\tlargest residual\n");
  for (size_t i = 0; i < series_count; i++)
    if (all_series[i].count > 1)
      print_fit (&all_series[i]);
  fit_cpu ();
  return 0;
}
