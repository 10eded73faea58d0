/* Properties of the sums: after any sequence of reports and expiries they
   equal the sum over the last report of each source, with and without one of
   them.  */

#include <glib.h>

extern "C"
{
#include "traffic/traffic.h"
}

#include <map>
#include <rapidcheck.h>
#include <vector>

namespace
{

enum
{
  SOURCES = 6,
  TARGETS = 8,
  MAX_AGE = 10
};

struct Model
{
  std::vector<struct bd_target_traffic> targets;
  int64_t received_ms;
};

uint32_t
expected_in_flight (const std::map<uint64_t, Model> &model, uint64_t target,
                    uint64_t excluded)
{
  uint32_t sum = 0;

  for (const auto &source : model)
    for (const auto &item : source.second.targets)
      if (item.target == target && source.first != excluded)
        sum += item.in_flight;
  return sum;
}

} // namespace

int
main ()
{
  bool is_ok = rc::check ("sums equal the last reports", [] () {
    struct bd_traffic traffic;
    std::map<uint64_t, Model> model;
    int64_t now_ms = 1000;
    auto steps = *rc::gen::container<
        std::vector<std::pair<unsigned, std::vector<unsigned> > > > (
        rc::gen::pair (rc::gen::inRange (0U, SOURCES + 2U),
                       rc::gen::container<std::vector<unsigned> > (
                           rc::gen::inRange (0U, 100U))));

    bd_traffic_init (&traffic);
    for (const auto &step : steps)
      {
        Model reported = { {}, ++now_ms };
        struct bd_model_demand demand = { 5, 1.5 };
        struct bd_traffic_report report = {};

        if (step.first >= SOURCES)
          {
            bd_traffic_expire (&traffic, now_ms - MAX_AGE);
            for (auto it = model.begin (); it != model.end ();)
              it = it->second.received_ms < now_ms - MAX_AGE ? model.erase (it)
                                                             : std::next (it);
            continue;
          }
        for (uint64_t i = 0; i < step.second.size () && i < TARGETS; i++)
          if (step.second[i] % 3 != 0)
            reported.targets.push_back (
                { i + 1, step.second[i], step.second[i] * 2, 0 });
        report.targets = reported.targets.data ();
        report.target_count = static_cast<uint32_t> (reported.targets.size ());
        report.demand = &demand;
        report.demand_count = 1;
        report.daemon_count = 1;
        bd_traffic_report (&traffic, step.first + 1, &report, now_ms);
        model[step.first + 1] = reported;
      }
    for (uint64_t target = 1; target <= TARGETS; target++)
      for (uint64_t excluded = 0; excluded <= SOURCES; excluded++)
        {
          struct bd_traffic_load load
              = bd_traffic_load (&traffic, target, excluded);
          uint32_t expected = expected_in_flight (model, target, excluded);

          RC_ASSERT (load.in_flight == expected);
          RC_ASSERT (load.prefill_ms == 2 * expected);
        }
    struct bd_target_traffic targets[TARGETS];
    struct bd_model_demand demand[2];
    struct bd_traffic_report sum = {};
    uint32_t total = 0;

    sum.targets = targets;
    sum.demand = demand;
    bd_traffic_add_to (&traffic, 0, &sum, TARGETS, 2, now_ms);
    for (uint32_t i = 0; i < sum.target_count; i++)
      total += targets[i].in_flight;
    for (uint64_t target = 1; target <= TARGETS; target++)
      total -= expected_in_flight (model, target, 0);
    RC_ASSERT (total == 0U);
    RC_ASSERT (sum.daemon_count == model.size ());
    if (!model.empty ())
      RC_ASSERT (demand[0].busy_replicas
                 == 1.5 * static_cast<double> (model.size ()));
    bd_traffic_finish (&traffic);
  });

  is_ok = rc::check ("requests without progress count as progress",
                     [] () {
                       enum
                       {
                         REPORTER_NOW_MS = 5000,
                         TARGET = 1
                       };
                       struct bd_traffic traffic;
                       struct bd_target_traffic target = {};
                       struct bd_target_traffic passed_on = {};
                       struct bd_traffic_report report = {};
                       struct bd_traffic_report sum = {};
                       auto now_ms = *rc::gen::inRange<int64_t> (1, 100000000);
                       auto progress_ms
                           = *rc::gen::inRange<int64_t> (0, REPORTER_NOW_MS);

                       target.target = TARGET;
                       target.in_flight = 1;
                       target.progress_age_ms
                           = bd_traffic_age_ms (progress_ms, REPORTER_NOW_MS);
                       report.targets = &target;
                       report.target_count = 1;
                       sum.targets = &passed_on;
                       bd_traffic_init (&traffic);
                       bd_traffic_report (&traffic, 1, &report, now_ms);
                       bd_traffic_add_to (&traffic, 0, &sum, 1, 0, now_ms);
                       RC_ASSERT (sum.target_count == 1U);
                       if (progress_ms == 0)
                         RC_ASSERT (
                             bd_traffic_load (&traffic, TARGET, 0).progress_ms
                             == 0);
                       if (progress_ms == 0)
                         RC_ASSERT (passed_on.progress_age_ms
                                    == BD_TRAFFIC_NO_PROGRESS);
                       else if (now_ms > REPORTER_NOW_MS)
                         RC_ASSERT (passed_on.progress_age_ms
                                    == target.progress_age_ms);
                       bd_traffic_finish (&traffic);
                     })
          && is_ok;

  return is_ok ? 0 : 1;
}
