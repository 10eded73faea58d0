/* Runs the CUnit tests of a test program.

   A test program lists its tests in an array of struct unit_test and returns
   UNIT_RUN (suite_name, tests) from main().  */

#ifndef BD_TESTS_UNIT_H
#define BD_TESTS_UNIT_H

#include <CUnit/Basic.h>
#include <stddef.h>

struct unit_test
{
  const char *name;
  void (*run) (void);
};

/* unit_run(): runs the tests as one suite.  Returns the program's exit code:
   0 if every assertion passed, 1 otherwise.  */
static inline int
unit_run (const char *suite_name, const struct unit_test *tests, size_t count)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite (suite_name, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}

/* UNIT_RUN(): calls unit_run() with the size of the array tests.  */
#define UNIT_RUN(name, tests)                                                 \
  unit_run (name, tests, sizeof (tests) / sizeof (tests)[0])

#endif
