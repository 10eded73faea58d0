/* Tests of the route table: matching, splits and accounts.  */

#include "routes/routes.h"
#include "tests/unit.h"

#include <string.h>
#include <talloc.h>

static struct bd_routes *routes;

static void
add (const char *name, const char *host, const char *prefix)
{
  struct bd_route route
      = { .host = host, .prefix = prefix, .kind = BD_ROUTE_SAFE };

  bd_name_copy (route.name, name);
  bd_routes_add (routes, &route);
}

static const char *
match (const char *host, const char *target)
{
  const struct bd_route *route = bd_routes_match (routes, host, target);

  return route != NULL ? route->name : "";
}

static void
test_longest_prefix (void)
{
  routes = bd_routes_new (NULL, 1);
  add ("short", "a.example", "/x/");
  add ("long", "a.example", "/x/y/");
  add ("other", "b.example", "/x/y/");
  bd_routes_finalize (routes);
  CU_ASSERT_STRING_EQUAL (match ("a.example", "/x/y/z?q=/"), "long");
  CU_ASSERT_STRING_EQUAL (match ("A.Example:8080", "/x/yy"), "short");
  CU_ASSERT_STRING_EQUAL (match ("b.example", "/x/y/"), "other");
  CU_ASSERT_STRING_EQUAL (match ("b.example", "/x/"), "");
  CU_ASSERT_STRING_EQUAL (match ("c.example", "/x/y/"), "");
  /* The query is not part of the path.  */
  CU_ASSERT_STRING_EQUAL (match ("a.example", "/x?/x/y/"), "");
  talloc_free (routes);
}

static void
test_split_by_weight (void)
{
  struct bd_route route
      = { .split_count = 2, .splits = { { "a", 90 }, { "b", 10 } } };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  uint32_t first = 0;

  gsl_rng_set (rng, 20261204);
  for (uint32_t i = 0; i < 10000; i++)
    first += strcmp (bd_route_choose_service (&route, rng), "a") == 0;
  CU_ASSERT_TRUE (first > 8850 && first < 9150);
  route.splits[0].weight = 0;
  for (uint32_t i = 0; i < 100; i++)
    CU_ASSERT_STRING_EQUAL (bd_route_choose_service (&route, rng), "b");
  gsl_rng_free (rng);
}

/* A configuration has weights whose sum exceeds what the random numbers
   have.  */
static void
test_split_by_large_weights (void)
{
  struct bd_route route
      = { .split_count = 2,
          .splits = { { "a", UINT32_MAX }, { "b", UINT32_MAX } } };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  uint32_t first = 0;

  gsl_rng_set (rng, 20261204);
  for (uint32_t i = 0; i < 10000; i++)
    {
      const char *service = bd_route_choose_service (&route, rng);

      CU_ASSERT_PTR_NOT_NULL_FATAL (service);
      first += strcmp (service, "a") == 0;
    }
  CU_ASSERT_TRUE (first > 4850 && first < 5150);
  gsl_rng_free (rng);
}

/* Whatever its length, a host matches.  */
static void
test_long_host (void)
{
  char host[1001];
  struct bd_route route = { .host = host, .prefix = "/" };

  memset (host, 'h', sizeof host - 1);
  host[sizeof host - 1] = '\0';
  routes = bd_routes_new (NULL, 1);
  bd_routes_add (routes, &route);
  bd_routes_finalize (routes);
  CU_ASSERT_PTR_NOT_NULL (bd_routes_match (routes, host, "/x"));
  host[sizeof host - 2] = '\0';
  CU_ASSERT_PTR_NULL (bd_routes_match (routes, host, "/x"));
  talloc_free (routes);
}

/* Requests need an API key also when there is no account left.  */
static void
test_accounts (void)
{
  struct bd_account account
      = { .name = "acc", .has_priority = true, .priority = 2 };

  routes = bd_routes_new (NULL, 1);
  CU_ASSERT_FALSE (routes->needs_keys);
  bd_routes_require_keys (routes);
  CU_ASSERT_TRUE (routes->needs_keys);
  CU_ASSERT_PTR_NULL (bd_routes_account (routes, "k"));
  CU_ASSERT_PTR_NULL (bd_routes_account (routes, NULL));
  bd_routes_add_account (routes, &account, "k");
  CU_ASSERT_STRING_EQUAL (bd_routes_account (routes, "k")->name, "acc");
  CU_ASSERT_PTR_NULL (bd_routes_account (routes, "K"));
  talloc_free (routes);
}

static void
test_idempotent_kinds (void)
{
  struct bd_route route = { .kind = BD_ROUTE_UNSAFE, .can_resume = true };

  CU_ASSERT_FALSE (bd_route_is_idempotent (&route));
  route.kind = BD_ROUTE_STREAM;
  CU_ASSERT_TRUE (bd_route_is_idempotent (&route));
  route.can_resume = false;
  CU_ASSERT_FALSE (bd_route_is_idempotent (&route));
  route.kind = BD_ROUTE_SAFE;
  CU_ASSERT_TRUE (bd_route_is_idempotent (&route));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "longest prefix", test_longest_prefix },
          { "split by weight", test_split_by_weight },
          { "split by large weights", test_split_by_large_weights },
          { "long host", test_long_host },
          { "accounts", test_accounts },
          { "idempotent kinds", test_idempotent_kinds } };

  return UNIT_RUN ("routes", tests);
}
