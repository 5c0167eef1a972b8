psp_test(limits_basics correctness/LimitsBasicsTest.cpp USES psp_limits)
psp_test(limits_window correctness/LimitsWindowTest.cpp USES psp_limits)
psp_test(limits_token correctness/LimitsTokenTest.cpp USES psp_limits)
psp_test(limits_lease correctness/LimitsLeaseTest.cpp USES psp_limits)
psp_benchmark(limits_benchmark performance/LimiterBenchmark.cpp USES psp_limits)

# Experiments print tables; they are built with the rest and run by hand.
function(psp_limits_experiment NAME SOURCE)
  add_executable(${NAME} ${SOURCE})
  target_compile_options(${NAME} PRIVATE -Wall -Wextra -Werror)
  target_include_directories(${NAME} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${NAME} PRIVATE psp_limits)
endfunction()
psp_limits_experiment(limits_experiment performance/LimitsExperiment.cpp)
