psp_test(program_replication correctness/ProgramReplicationTest.cpp USES psp_program)
psp_test(program_table correctness/ProgramTableTest.cpp USES psp_program)
psp_test(program_home_lease correctness/HomeLeaseTest.cpp USES psp_program)
psp_test(program_random correctness/ProgramRandomTest.cpp USES psp_program)
