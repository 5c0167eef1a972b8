// Throughput of the journal in records per second, by the number of records per
// sync.

#include "storage/FileJournal.h"

#include "support/TemporaryFolder.h"

#include <benchmark/benchmark.h>

namespace psp::storage {
namespace {

constexpr std::size_t RecordBytes = 200;

void appendAndSync(benchmark::State &State) {
  tests::TemporaryFolder Folder;
  FileJournal Journal({.m_Folder = Folder.path()}, [](auto, auto) {});
  std::string Record(RecordBytes, 'x');
  for (auto Step : State) {
    for (std::int64_t I = 0; I < State.range(0); ++I)
      Journal.append(Record);
    Journal.sync();
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
}
BENCHMARK(appendAndSync)->RangeMultiplier(8)->Range(1, 4096)->UseRealTime();

} // namespace
} // namespace psp::storage
