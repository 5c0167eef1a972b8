/// \file
/// The home lease must end for its holder before a majority of the ledgers
/// considers the holder's data centre unreachable.

#include "program/HomeLease.h"

#include <gtest/gtest.h>

namespace psp::program {
namespace {

const base::InstanceId LedgerA("a");
const base::InstanceId LedgerB("b");
const base::InstanceId LedgerC("c");

base::TimePoint at(int Milliseconds) {
  return base::TimePoint(base::milliseconds(Milliseconds));
}

TEST(HomeLeaseTest, HeldFromTheSendTimeOfTheProbeThatAMajorityAnswered) {
  HomeLease Lease({.m_Ledgers = {LedgerA, LedgerB, LedgerC},
                   .m_Length = base::milliseconds(1000)});
  Lease.noteContact(LedgerA, at(100));
  EXPECT_FALSE(Lease.isHeld(at(101)));
  Lease.noteContact(LedgerB, at(50));
  EXPECT_TRUE(Lease.isHeld(at(999)));
  EXPECT_FALSE(Lease.isHeld(at(1000)));
  {
    SCOPED_TRACE("one ledger alone does not extend it");
    Lease.noteContact(LedgerA, at(900));
    EXPECT_FALSE(Lease.isHeld(at(1000)));
  }
  {
    SCOPED_TRACE("a late answer to an old probe does not shorten the lease");
    Lease.noteContact(LedgerB, at(900));
    Lease.noteContact(LedgerB, at(10));
    EXPECT_TRUE(Lease.isHeld(at(1800)));
  }
}

TEST(HomeLeaseTest, RestartedLedgerWaitsForTheFullLeaseLength) {
  const base::DataCentreId Home("brum-a");
  const base::Duration Length = base::milliseconds(1000);
  HomeContacts Contacts;
  EXPECT_FALSE(Contacts.isUnreachable(Home, Length, at(500), at(1499)));
  EXPECT_TRUE(Contacts.isUnreachable(Home, Length, at(500), at(1500)));
  Contacts.noteContact(Home, at(1600));
  EXPECT_FALSE(Contacts.isUnreachable(Home, Length, at(500), at(2599)));
  EXPECT_TRUE(Contacts.isUnreachable(Home, Length, at(500), at(2600)));
}

} // namespace
} // namespace psp::program
