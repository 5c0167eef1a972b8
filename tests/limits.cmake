psp_test(limits_basics correctness/LimitsBasicsTest.cpp USES psp_limits)
psp_test(limits_window correctness/LimitsWindowTest.cpp USES psp_limits)
psp_test(limits_token correctness/LimitsTokenTest.cpp USES psp_limits)
psp_test(limits_lease correctness/LimitsLeaseTest.cpp USES psp_limits)
