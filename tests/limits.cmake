psp_test(limits_basics correctness/LimitsBasicsTest.cpp USES psp_limits)
