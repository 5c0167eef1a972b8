psp_test(base_ring correctness/BoundedRingTest.cpp USES psp_base)
psp_test(base_errors correctness/ErrorKindTest.cpp USES psp_base)
psp_test(messages_frame error/FrameTest.cpp USES psp_messages)
