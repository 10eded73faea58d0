/* Two daemons acquire terms of a store whose replies are lost or late and
   which is restored from copies of any age: no token is held by two of them,
   and the tokens of a daemon rise.  An instance that has seen a token refuses
   lower ones, so a late order of an earlier holder is refused.  */

#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <microhttpd.h>

extern "C"
{
#include <talloc.h>
#include <tevent.h>

#include "store/term.h"
#include "tests/quiet.h"
}

#include <deque>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

enum
{
  DAEMONS = 2,
  TIMEOUT_MS = 1000000
};

struct Object
{
  std::string value;
  int64_t revision = 0; /* 0: does not exist.  */
};

struct Store
{
  Object object;
  int64_t revision = 0;
  int64_t era = 1;
};

/* A call that the store has not executed yet.  */
struct Call
{
  struct bd_object_op op;
  std::string value;
  bd_object_done *done;
  void *ctx;
};

/* A reply on its way.  */
struct Reply
{
  Call call;
  struct bd_object_reply reply;
  std::string value;
};

struct World
{
  Store store;
  std::vector<Store> copies;
  std::deque<Call> calls;
  std::deque<Reply> replies;
  struct tevent_context *events = tevent_context_init (nullptr);
  struct bd_clock clock;
  int64_t now_ms = 1;
  struct bd_counters counters = {};
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  struct bd_store clients[DAEMONS];
  struct bd_term terms[DAEMONS];
  struct Holder
  {
    World *world;
    int index;
  } holders[DAEMONS];
  std::map<int64_t, int> held; /* Token -> daemon.  */
  std::vector<int64_t> last = std::vector<int64_t> (DAEMONS, 0);
  bool is_shared = false;
  bool has_fallen = false;

  World ();
  ~World ();
  void execute (bool is_reply_lost);
  void deliver (size_t index);
  void restore (unsigned age);
  void settle ();
};

bool
start (void *api, const struct bd_object_op *op, bd_object_done *done,
       void *ctx)
{
  World *world = static_cast<World *> (api);

  world->calls.push_back (
      { *op, op->value != nullptr ? op->value : "", done, ctx });
  return true;
}

const struct bd_object_api_ops ops = { start };

struct timespec
now (void *ctx)
{
  int64_t now_ms = static_cast<World *> (ctx)->now_ms;

  return { now_ms / 1000, (now_ms % 1000) * 1000000 };
}

const struct bd_clock_ops clock_ops = { now, now };

void
note_term (void *ctx, enum bd_error error)
{
  World::Holder *holder = static_cast<World::Holder *> (ctx);
  World *world = holder->world;
  int64_t token = world->terms[holder->index].token;

  if (error != BD_OK)
    return;
  auto found = world->held.find (token);
  world->is_shared = world->is_shared || found != world->held.end ();
  world->has_fallen = world->has_fallen || token <= world->last[holder->index];
  world->held[token] = holder->index;
  world->last[holder->index] = token;
}

World::World ()
{
  clock = { &clock_ops, this };
  for (int i = 0; i < DAEMONS; i++)
    {
      holders[i] = { this, i };
      bd_store_init (&clients[i], &ops, this, events, &clock, &counters, rng,
                     1000000, 1000000);
      bd_term_init (&terms[i], &clients[i], "terms/a", i == 0 ? "d0" : "d1",
                    note_term, &holders[i]);
    }
}

World::~World ()
{
  for (auto &client : clients)
    bd_store_finish (&client);
  talloc_free (events);
  gsl_rng_free (rng);
}

/* The store executes the oldest call.  */
void
World::execute (bool is_reply_lost)
{
  if (calls.empty ())
    return;
  Reply reply = { calls.front (), {}, "" };
  const struct bd_object_op &op = reply.call.op;

  calls.pop_front ();
  reply.reply.error = BD_OK;
  if (op.kind == BD_OBJECT_WRITE && op.version != store.object.revision)
    reply.reply.error = BD_ERR_CONFLICT;
  else if (op.kind == BD_OBJECT_WRITE)
    {
      store.object.value = reply.call.value;
      store.object.revision = ++store.revision;
    }
  else if (store.object.revision == 0)
    reply.reply.error = BD_ERR_NOT_FOUND;
  reply.reply.version = store.object.revision;
  reply.reply.era = store.era;
  reply.value = store.object.value;
  if (is_reply_lost)
    {
      reply.reply = {};
      reply.reply.error = BD_ERR_PLATFORM_DOWN;
    }
  replies.push_back (reply);
}

void
World::deliver (size_t index)
{
  if (replies.empty ())
    return;
  index %= replies.size ();
  Reply reply = replies[index];

  replies.erase (replies.begin () + static_cast<long> (index));
  if (reply.reply.error == BD_OK && !reply.value.empty ())
    reply.reply.value = json_loads (reply.value.c_str (), 0, nullptr);
  reply.call.done (reply.call.ctx, &reply.reply);
  json_decref (reply.reply.value);
}

void
World::restore (unsigned age)
{
  int64_t era = store.era;

  if (copies.empty ())
    return;
  store = copies[age % copies.size ()];
  store.era = era + 1;
}

/* Sends the calls that wait for a retry.  */
void
World::settle ()
{
  now_ms += 5000;
  for (auto &client : clients)
    while (client.timer != nullptr)
      tevent_loop_once (events);
}

void
step (World &world, int kind, unsigned a)
{
  switch (kind)
    {
    case 0:
    case 1:
      bd_term_acquire (&world.terms[a % DAEMONS], TIMEOUT_MS);
      break;
    case 2:
    case 3:
    case 4:
      world.execute (a % 6 == 0);
      break;
    case 5:
    case 6:
    case 7:
      world.deliver (a);
      break;
    case 8:
      world.copies.push_back (world.store);
      break;
    case 9:
      world.restore (a);
      break;
    case 10:
      world.settle ();
      break;
    default:
      break;
    }
}

} // namespace

int
main ()
{
  unit_silence_log ();
  bool is_ok = rc::check ("a token is held by one daemon only", [] () {
    World world;
    auto steps = *rc::gen::container<std::vector<std::pair<int, unsigned> > > (
        rc::gen::pair (rc::gen::inRange (0, 11), rc::gen::inRange (0U, 100U)));

    for (const auto &item : steps)
      step (world, item.first, item.second);
    for (int i = 0; i < 20; i++)
      {
        world.execute (false);
        world.deliver (0);
      }
    RC_ASSERT (!world.is_shared);
    RC_ASSERT (!world.has_fallen);
    RC_CLASSIFY (world.held.size () > 2, "several terms");
  });

  return is_ok ? 0 : 1;
}
