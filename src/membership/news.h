/* How a message for all daemons travels.  Pure.

   In a large fleet a daemon sends it to the relays of its data centre.  They
   send it to the members of that data centre and to the relays of the others,
   which send it to their members.  Each copy carries its stage, and is passed
   on with a later one only, so no copy ever comes back: a message that is
   undone by another, such as a suspicion and its end, would otherwise be news
   again each time and go round for ever.  */

#ifndef BD_MEMBERSHIP_NEWS_H
#define BD_MEMBERSHIP_NEWS_H

#include <stdbool.h>

enum bd_news_stage
{
  BD_NEWS_TO_OWN_RELAYS,
  BD_NEWS_TO_OTHER_RELAYS,
  BD_NEWS_TO_MEMBERS /* Not passed on.  */
};

/* Who receives a copy; each with the stage of that name.  */
struct bd_news_receivers
{
  bool own_relays;
  bool other_relays; /* Of the other data centres.  */
  bool members;      /* Of the own data centre; of all, in a small fleet.  */
};

/* bd_news_start(): the daemon that has the news.  */
struct bd_news_receivers bd_news_start (bool is_small_fleet, bool is_relay);

/* bd_news_forward(): a daemon that has received a copy.  */
struct bd_news_receivers bd_news_forward (enum bd_news_stage stage,
                                          bool is_relay);

#endif
