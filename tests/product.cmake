psp_test(settings_samples correctness/SampleSettingsTest.cpp USES psp_settings)
target_compile_definitions(settings_samples PRIVATE
  PSP_CONFIG_FOLDER="${CMAKE_SOURCE_DIR}/config")
psp_test(settings_faults error/SettingsFaultsTest.cpp USES psp_settings)
psp_test(settings_control_document error/ControlDocumentTest.cpp USES psp_settings)
target_compile_definitions(settings_control_document PRIVATE
  PSP_CONFIG_FOLDER="${CMAKE_SOURCE_DIR}/config")
