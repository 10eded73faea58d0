/* Properties of the change log: daemons that follow the logs of others, while
   messages are lost, repeated and delayed, relays restart and the store is
   restored from a copy, end with the list of the store; and what a daemon
   holds of an entry never becomes older.  */

#include <glib.h>

extern "C"
{
#include "directory/directory.h"
}

#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

enum
{
  DAEMONS = 4, /* The first two read the store.  */
  RELAYS = 2,
  ENTRIES = 400
};

struct Stored
{
  struct bd_endpoint_entry entry;
  int64_t revision;
};

struct Store
{
  std::map<std::string, Stored> entries;
  int64_t era = 1;
  int64_t revision = 1;
};

/* Counts the writes of all instances; a restored store does not turn it
   back.  */
int64_t heartbeats;

struct Daemon
{
  struct bd_directory directory;
  std::map<std::string, std::pair<int64_t, int64_t> > seen;
  Store listed; /* When it last read the list itself.  */
  bool went_back = false;
};

struct Message
{
  int to;
  struct bd_directory_frame frame;
  std::vector<struct bd_directory_record> records;
};

void
note_change (void *ctx, const struct bd_directory_record *record)
{
  Daemon *daemon = static_cast<Daemon *> (ctx);
  auto now = std::make_pair (record->era, record->revision);
  auto &before = daemon->seen[record->entry.id];

  daemon->went_back
      = daemon->went_back || now < before
        || (!record->is_removed
            && daemon->listed.entries.count (record->entry.id) == 0
            && now <= std::make_pair (daemon->listed.era,
                                      daemon->listed.revision));
  before = now;
}

struct World
{
  Store store;
  std::vector<Store> copies;
  Daemon daemons[DAEMONS];
  std::deque<Message> messages;
  uint64_t next_log = 1;

  World ()
  {
    for (auto &daemon : daemons)
      start (daemon);
  }
  ~World ()
  {
    for (auto &daemon : daemons)
      bd_directory_finish (&daemon.directory);
  }

  void
  start (Daemon &daemon)
  {
    daemon.seen.clear ();
    daemon.listed = {};
    daemon.listed.era = 0;
    bd_directory_init (&daemon.directory, next_log++, note_change, &daemon);
  }

  void
  write (unsigned index, unsigned value)
  {
    char name[32];
    Stored stored = {};

    snprintf (name, sizeof name, "i-%u", index % ENTRIES);
    if (value % 5 == 0)
      {
        store.revision += store.entries.erase (name);
        return;
      }
    bd_name_copy (stored.entry.id, name);
    stored.entry.slots = value;
    stored.entry.heartbeats = ++heartbeats;
    stored.revision = ++store.revision;
    store.entries[name] = stored;
  }

  /* Every instance writes its entry again, as it does after a restore.  */
  void
  write_again ()
  {
    for (auto &item : store.entries)
      {
        item.second.entry.heartbeats = ++heartbeats;
        item.second.revision = ++store.revision;
      }
  }

  void
  list (Daemon &daemon)
  {
    bd_directory_begin_list (&daemon.directory, store.era, store.revision);
    for (const auto &item : store.entries)
      bd_directory_put (&daemon.directory, &item.second.entry, store.era,
                        item.second.revision);
    bd_directory_end_list (&daemon.directory);
    daemon.listed = store;
  }

  void
  ask (int from, int to)
  {
    std::vector<struct bd_directory_record> records (
        BD_DIRECTORY_FRAME_ENTRIES);
    Message message;

    message.to = from;
    bd_directory_fill (&daemons[to].directory, &daemons[from].directory.source,
                       records.data (), &message.frame);
    records.resize (message.frame.record_count);
    message.records = records;
    messages.push_back (message);
  }

  void
  deliver (size_t index, bool is_repeated)
  {
    Message message = messages[index];

    if (!is_repeated)
      messages.erase (messages.begin () + static_cast<long> (index));
    message.frame.records = message.records.data ();
    bd_directory_apply (&daemons[message.to].directory, &message.frame);
  }

  void
  step (int kind, unsigned a, unsigned b)
  {
    switch (kind)
      {
      case 0:
      case 1:
        write (a, b);
        break;
      case 2:
        for (unsigned i = 0; i < ENTRIES; i++)
          write (i, b + i);
        break;
      case 3:
        list (daemons[a % RELAYS]);
        break;
      case 4:
      case 5:
        ask (static_cast<int> (a % DAEMONS), static_cast<int> (b % DAEMONS));
        break;
      case 6:
      case 7:
        if (!messages.empty ())
          deliver (a % messages.size (), b % 4 == 0);
        break;
      case 8:
        if (!messages.empty ())
          messages.pop_front ();
        break;
      case 9:
        bd_directory_finish (&daemons[a % DAEMONS].directory);
        start (daemons[a % DAEMONS]);
        break;
      case 10:
        copies.push_back (store);
        break;
      case 11:
        if (!copies.empty ())
          {
            int64_t era = store.era;

            store = copies[a % copies.size ()];
            store.era = era + 1;
          }
        break;
      }
  }

  bool
  equals_store (const Daemon &daemon) const
  {
    if (bd_directory_count (&daemon.directory) != store.entries.size ())
      return false;
    for (const auto &item : store.entries)
      if (!bd_directory_lists (&daemon.directory, item.first.c_str ()))
        return false;
    return true;
  }
};

} // namespace

int
main ()
{
  bool is_ok
      = rc::check ("every daemon ends with the list of the store", [] () {
          World world;
          auto steps = *rc::gen::container<
              std::vector<std::tuple<int, unsigned, unsigned> > > (
              rc::gen::tuple (rc::gen::inRange (0, 12),
                              rc::gen::inRange (0U, 1000U),
                              rc::gen::inRange (0U, 1000U)));

          for (const auto &step : steps)
            world.step (std::get<0> (step), std::get<1> (step),
                        std::get<2> (step));
          world.messages.clear ();
          world.write_again ();
          for (int relay = 0; relay < RELAYS; relay++)
            world.list (world.daemons[relay]);
          for (int turn = 0; turn < 20; turn++)
            for (int daemon = RELAYS; daemon < DAEMONS; daemon++)
              {
                world.ask (daemon, daemon % RELAYS);
                world.deliver (world.messages.size () - 1, false);
              }
          for (const auto &daemon : world.daemons)
            {
              RC_ASSERT (!daemon.went_back);
              RC_ASSERT (world.equals_store (daemon));
            }
        });

  return is_ok ? 0 : 1;
}
