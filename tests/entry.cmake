psp_test(entry_submissions correctness/SubmissionsTest.cpp USES psp_entry)
psp_test(entry_broken_stream error/BrokenStreamTest.cpp USES psp_entry)
