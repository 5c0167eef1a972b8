psp_test(entry_submissions correctness/SubmissionsTest.cpp USES psp_entry)
